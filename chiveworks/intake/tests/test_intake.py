"""Outcomes of client requests."""

import asyncio
from datetime import timedelta

import pytest

from chiveworks.base import JobId, ManualClock, Resources
from chiveworks.events import EventLog
from chiveworks.intake import (
    IntakeLimits,
    IntakeVerdict,
    JobIntake,
    QueueCatalogue,
    QueueRoute,
)
from chiveworks.workflow import JobSpec, JobState, QueuePolicy, StepSpec, Submission
from standins.metadata import MemoryMetadataStore

POLICY = QueuePolicy('q', 'pool')
SUBMISSION = Submission(JobId('j'), POLICY, JobSpec('x', (StepSpec(1, Resources(1)),)))


class IntakeHarness:
    def __init__(self):
        self.clock = ManualClock()
        self.store = MemoryMetadataStore(self.clock)
        log = EventLog(self.clock, {})
        log.write = lambda event, **fields: None
        self.intake = JobIntake(self.store, self.clock, log)

    async def call(self, work, seconds=3):
        task = asyncio.create_task(work)
        await self.clock.advance(timedelta(seconds=seconds))
        return task.result()


@pytest.fixture
def harness():
    return IntakeHarness()


async def test_a_refused_write_is_reported_as_not_run(harness):
    """Guards against a job that runs although its client was told it would not."""
    harness.store.faults.refuse = True
    assert (
        await harness.call(harness.intake.submit(SUBMISSION)) is IntakeVerdict.REFUSED
    )
    assert not harness.store.items


async def test_requests_are_refused_at_once_during_a_store_outage(harness):
    """Guards against requests that wait for their timeout during a store outage."""
    log = EventLog(harness.clock, {})
    log.write = lambda event, **fields: None
    intake = JobIntake(harness.store, harness.clock, log, lambda: False)
    call = asyncio.create_task(intake.submit(SUBMISSION))
    await harness.clock.advance(timedelta())
    assert call.result() is IntakeVerdict.REFUSED
    assert not harness.store.items


async def test_a_write_without_a_response_is_resolved_by_sending_it_again(harness):
    """Guards against reporting a stored job as unknown after a lost response."""
    harness.store.faults.lose_answers = 1
    assert (
        await harness.call(harness.intake.submit(SUBMISSION)) is IntakeVerdict.ACCEPTED
    )


async def test_a_write_that_may_still_be_applied_is_not_reported_as_not_run(harness):
    """Guards against "not run" for a write that the store applies later.

    A retry that the store refuses does not prove that the first write was lost.
    """
    harness.store.faults.delay_writes = 1
    call = asyncio.create_task(harness.intake.submit(SUBMISSION))
    await asyncio.sleep(0)
    harness.store.faults.refuse = True
    await harness.clock.advance(timedelta(seconds=3))
    assert call.result() is IntakeVerdict.UNKNOWN
    harness.store.faults.refuse = False
    harness.store.apply_delayed()
    assert (
        await harness.call(harness.intake.submit(SUBMISSION)) is IntakeVerdict.ACCEPTED
    )


async def test_a_cancelled_job_is_shown_as_cancelled(harness):
    """Guards against a cancellation that is acknowledged but not stored."""
    await harness.call(harness.intake.submit(SUBMISSION))
    harness.store.faults.lose_answers = 1
    job_id = SUBMISSION.job_id
    assert await harness.call(harness.intake.cancel(job_id)) is IntakeVerdict.ACCEPTED
    assert await harness.call(harness.intake.state(job_id)) is JobState.CANCELLED


async def test_unknown_jobs_are_not_found(harness):
    """Guards against reporting or cancelling jobs that were never submitted."""
    missing = JobId('missing')
    assert await harness.call(harness.intake.state(missing)) is IntakeVerdict.NOT_FOUND
    assert await harness.call(harness.intake.cancel(missing)) is IntakeVerdict.NOT_FOUND


async def test_no_count_is_reported_during_a_store_outage(harness):
    """Guards against reporting an unknown count as zero."""
    assert await harness.call(harness.intake.pending('q')) == 0
    harness.store.faults.refuse = True
    assert await harness.call(harness.intake.pending('q')) is None


def test_the_longest_prefix_selects_the_queue():
    """Guards against routing a request to a queue with a shorter prefix."""
    routes = [
        QueueRoute('host', '/a/', QueuePolicy('short', 'pool')),
        QueueRoute('host', '/a/b/', QueuePolicy('long', 'pool')),
    ]
    catalogue = QueueCatalogue.build(1, routes, {}, IntakeLimits())
    assert catalogue.find('host', '/a/b/0').policy.name == 'long'
    assert catalogue.find('host', '/a/c').policy.name == 'short'
    assert catalogue.find('other', '/a/b/0') is None
