"""Verdicts that clients are given."""

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


class Desk:
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
def desk():
    return Desk()


async def test_a_refused_write_is_reported_as_not_run(desk):
    """Guards against work that runs though its client was told otherwise."""
    desk.store.faults.refuse = True
    assert await desk.call(desk.intake.submit(SUBMISSION)) is IntakeVerdict.REFUSED
    assert not desk.store.items


async def test_clients_are_refused_at_once_while_the_store_is_away(desk):
    """Guards against clients that are held until their time is over."""
    log = EventLog(desk.clock, {})
    log.write = lambda event, **fields: None
    intake = JobIntake(desk.store, desk.clock, log, lambda: False)
    call = asyncio.create_task(intake.submit(SUBMISSION))
    await desk.clock.advance(timedelta())
    assert call.result() is IntakeVerdict.REFUSED
    assert not desk.store.items


async def test_an_unanswered_write_is_resolved_by_sending_it_again(desk):
    """Guards against a job that is stored and reported as unknown."""
    desk.store.faults.lose_answers = 1
    assert await desk.call(desk.intake.submit(SUBMISSION)) is IntakeVerdict.ACCEPTED


async def test_a_write_that_may_still_be_applied_is_not_reported_as_not_run(desk):
    """Guards against "not run" for a write that is applied after a refusal."""
    desk.store.faults.delay_writes = 1
    call = asyncio.create_task(desk.intake.submit(SUBMISSION))
    await asyncio.sleep(0)
    desk.store.faults.refuse = True
    await desk.clock.advance(timedelta(seconds=3))
    assert call.result() is IntakeVerdict.UNKNOWN
    desk.store.faults.refuse = False
    desk.store.apply_delayed()
    assert await desk.call(desk.intake.submit(SUBMISSION)) is IntakeVerdict.ACCEPTED


async def test_a_cancelled_job_is_shown_as_cancelled(desk):
    """Guards against a cancellation that is acknowledged and not kept."""
    await desk.call(desk.intake.submit(SUBMISSION))
    desk.store.faults.lose_answers = 1
    job_id = SUBMISSION.job_id
    assert await desk.call(desk.intake.cancel(job_id)) is IntakeVerdict.ACCEPTED
    assert await desk.call(desk.intake.state(job_id)) is JobState.CANCELLED


async def test_unknown_jobs_are_not_found(desk):
    """Guards against states and cancellations of jobs that nobody submitted."""
    missing = JobId('missing')
    assert await desk.call(desk.intake.state(missing)) is IntakeVerdict.NOT_FOUND
    assert await desk.call(desk.intake.cancel(missing)) is IntakeVerdict.NOT_FOUND


async def test_no_count_is_given_while_the_store_is_away(desk):
    """Guards against a count of zero that means "not known"."""
    assert await desk.call(desk.intake.pending('q')) == 0
    desk.store.faults.refuse = True
    assert await desk.call(desk.intake.pending('q')) is None


def test_the_longest_prefix_selects_the_queue():
    """Guards against a request that reaches a shorter prefix's queue."""
    routes = [
        QueueRoute('host', '/a/', QueuePolicy('short', 'pool')),
        QueueRoute('host', '/a/b/', QueuePolicy('long', 'pool')),
    ]
    catalogue = QueueCatalogue.build(1, routes, {}, IntakeLimits())
    assert catalogue.find('host', '/a/b/0').policy.name == 'long'
    assert catalogue.find('host', '/a/c').policy.name == 'short'
    assert catalogue.find('other', '/a/b/0') is None
