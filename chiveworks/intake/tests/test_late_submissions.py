"""Submissions that the store applies after their jobs were cancelled or refused."""

import asyncio
from datetime import timedelta

import pytest

from chiveworks.base import JobId, ManualClock, Resources
from chiveworks.dispatch.tests.deployment import RecordingLog
from chiveworks.intake import IntakeVerdict, JobIntake, UnservableJob
from chiveworks.intake._job_canceller import TOMBSTONE_BURST, TOMBSTONES_PER_S
from chiveworks.metastore import Transaction, job_key
from chiveworks.workflow import JobSpec, JobState, QueuePolicy, StepSpec, Submission
from standins.metadata import MemoryMetadataStore

JOB_ID = JobId('j')
SUBMISSION = Submission(
    JOB_ID, QueuePolicy('q', 'pool'), JobSpec('x', (StepSpec(1, Resources(1)),))
)
#: Longer than the time after which a request is reported as unknown.
LONG_ENOUGH_S = 3


class Intakes:
    """Two processes that share a store.

    Attributes:
        reason: Why the second process refuses submissions; empty if it does not.
    """

    def __init__(self):
        self.clock = ManualClock()
        self.store = MemoryMetadataStore(self.clock)
        self.log = RecordingLog(self.clock)
        self.reason = ''
        self.first = JobIntake(self.store, self.clock, self.log)
        self.second = JobIntake(
            self.store, self.clock, self.log, refusal_reason=lambda _job: self.reason
        )

    async def call(self, work, seconds=LONG_ENOUGH_S):
        task = asyncio.create_task(work)
        await self.clock.advance(timedelta(seconds=seconds))
        return task.result()

    async def submit_late(self):
        """Submits a job whose write the store keeps; returns the verdict."""
        self.store.faults.delay_writes = 1
        call = asyncio.create_task(self.first.submit(SUBMISSION))
        await asyncio.sleep(0)
        self.store.faults.refuse = True
        await self.clock.advance(timedelta(seconds=LONG_ENOUGH_S))
        self.store.faults.refuse = False
        return call.result()


@pytest.fixture
def intakes():
    return Intakes()


async def test_a_late_write_does_not_store_a_cancelled_job(intakes):
    """Guards against a job that runs after its cancelling was answered "not found",
    since the store applied the write of its submission later."""
    assert await intakes.submit_late() is IntakeVerdict.UNKNOWN
    assert await intakes.call(intakes.second.cancel(JOB_ID)) is IntakeVerdict.NOT_FOUND
    intakes.store.apply_delayed()
    assert await intakes.call(intakes.first.state(JOB_ID)) is IntakeVerdict.NOT_FOUND
    assert await intakes.call(intakes.second.cancel(JOB_ID)) is IntakeVerdict.NOT_FOUND


async def test_a_repeated_submission_does_not_store_a_cancelled_job(intakes):
    """Guards against "accepted" for a job that was cancelled before it was stored."""
    await intakes.call(intakes.second.cancel(JOB_ID))
    submit = intakes.first.submit(SUBMISSION)
    assert await intakes.call(submit, seconds=0) is IntakeVerdict.WITHDRAWN
    assert await intakes.call(intakes.first.state(JOB_ID)) is IntakeVerdict.NOT_FOUND


async def test_a_write_during_the_cancelling_is_cancelled(intakes):
    """Guards against "not found" for a job that is stored between the read and the
    write of its cancelling."""
    assert await intakes.submit_late() is IntakeVerdict.UNKNOWN
    read = intakes.store.read

    async def read_before_write(key, **options):
        item = await read(key, **options)
        intakes.store.apply_delayed()
        return item

    intakes.store.read = read_before_write
    assert await intakes.call(intakes.second.cancel(JOB_ID)) is IntakeVerdict.ACCEPTED
    assert await intakes.call(intakes.first.state(JOB_ID)) is JobState.CANCELLED


@pytest.mark.parametrize('fault', ['lose_answers', 'delay_writes'])
async def test_a_cancelling_without_a_response_is_resolved(intakes, fault):
    """Guards against "not found" before the tombstone is certainly stored."""
    setattr(intakes.store.faults, fault, 1)
    assert await intakes.call(intakes.second.cancel(JOB_ID)) is IntakeVerdict.NOT_FOUND
    submit = intakes.first.submit(SUBMISSION)
    assert await intakes.call(submit) is IntakeVerdict.WITHDRAWN


async def test_cancellings_without_a_store_are_not_answered_not_found(intakes):
    """Guards against "not found" from a read alone while no write is answered."""
    intakes.store.faults.delay_writes = 1000
    assert await intakes.call(intakes.second.cancel(JOB_ID)) is IntakeVerdict.UNKNOWN


async def test_unknown_jobs_cost_the_store_a_bounded_number_of_writes(intakes):
    """Guards against cancellings of unknown ids that take the store's writes from
    submissions and from the leader."""
    calls = [
        asyncio.create_task(intakes.first.cancel(JobId(f'unknown-{number}')))
        for number in range(1000)
    ]
    await intakes.clock.advance(timedelta())
    verdicts = [call.result() for call in calls]
    assert verdicts.count(IntakeVerdict.NOT_FOUND) == TOMBSTONE_BURST
    assert verdicts.count(IntakeVerdict.THROTTLED) == 1000 - TOMBSTONE_BURST
    assert len(intakes.store.items) == TOMBSTONE_BURST
    await intakes.clock.advance(timedelta(seconds=1))
    later = [
        await intakes.call(intakes.first.cancel(JobId(f'later-{number}')), seconds=0)
        for number in range(TOMBSTONES_PER_S + 1)
    ]
    assert later.count(IntakeVerdict.NOT_FOUND) == TOMBSTONES_PER_S


async def test_cancellings_of_stored_jobs_are_not_throttled(intakes):
    """Guards against accepted jobs that run on because unknown ones were cancelled."""
    await intakes.call(intakes.first.submit(SUBMISSION))
    for number in range(TOMBSTONE_BURST + 1):
        await intakes.call(intakes.first.cancel(JobId(f'unknown-{number}')), seconds=0)
    assert await intakes.call(intakes.first.cancel(JOB_ID)) is IntakeVerdict.ACCEPTED


async def test_a_late_write_does_not_store_a_refused_job(intakes):
    """Guards against a job that runs although a client was told that it never would:
    the store applied the write of an earlier submission later."""
    assert await intakes.submit_late() is IntakeVerdict.UNKNOWN
    intakes.reason = 'no worker is large enough'
    refusal = UnservableJob(intakes.reason)
    assert await intakes.call(intakes.second.submit(SUBMISSION)) == refusal
    intakes.store.apply_delayed()
    assert await intakes.call(intakes.first.state(JOB_ID)) is IntakeVerdict.NOT_FOUND
    assert await intakes.call(intakes.second.submit(SUBMISSION)) == refusal


@pytest.mark.parametrize('fault', ['lose_answers', 'delay_writes'])
async def test_a_refusal_without_a_response_is_resolved(intakes, fault):
    """Guards against "never" before the tombstone is certainly stored, and against
    "accepted" if only its response was lost."""
    intakes.reason = 'no worker is large enough'
    setattr(intakes.store.faults, fault, 1)
    submit = intakes.second.submit(SUBMISSION)
    assert isinstance(await intakes.call(submit), UnservableJob)
    assert await intakes.call(intakes.first.state(JOB_ID)) is IntakeVerdict.NOT_FOUND


async def test_a_refusal_that_the_store_does_not_answer_is_unknown(intakes):
    """Guards against "never" for a job whose refusal may not be stored."""
    intakes.reason = 'no worker is large enough'
    intakes.store.faults.delay_writes = 1000
    submit = intakes.second.submit(SUBMISSION)
    assert await intakes.call(submit) is IntakeVerdict.UNKNOWN


async def test_a_refused_job_is_accepted_once_a_worker_can_run_it(intakes):
    """Guards against jobs that stay refused after a larger worker was added."""
    intakes.reason = 'no worker is large enough'
    await intakes.call(intakes.second.submit(SUBMISSION))
    intakes.reason = ''
    submit = intakes.second.submit(SUBMISSION)
    assert await intakes.call(submit) is IntakeVerdict.ACCEPTED
    assert await intakes.call(intakes.first.state(JOB_ID)) is JobState.QUEUED


async def test_a_submission_that_was_sent_before_a_refusal_does_not_replace_it(intakes):
    """Guards against "never" while another process still tries to store the job."""
    intakes.store.faults.delay_writes = 1
    earlier = asyncio.create_task(intakes.first.submit(SUBMISSION))
    await asyncio.sleep(0)
    intakes.reason = 'no worker is large enough'
    await intakes.call(intakes.second.submit(SUBMISSION), seconds=0)
    await intakes.clock.advance(timedelta(seconds=LONG_ENOUGH_S))
    assert earlier.result() is IntakeVerdict.REFUSED
    assert await intakes.call(intakes.first.state(JOB_ID)) is IntakeVerdict.NOT_FOUND


@pytest.mark.parametrize('withdraw', ['refuse', 'cancel'])
async def test_a_late_write_does_not_replace_a_later_tombstone(intakes, withdraw):
    """Guards against a job that is stored late in place of the tombstone of an earlier
    refusal, after it was refused again or cancelled."""
    intakes.reason = 'no worker is large enough'
    await intakes.call(intakes.second.submit(SUBMISSION))
    intakes.store.faults.delay_writes = 1000
    item = intakes.store.items[job_key(JOB_ID)]
    late = Transaction({item.key: item.revision}, {item.key: b'late'})
    await intakes.store.commit(late)
    intakes.store.faults.delay_writes = 0
    if withdraw == 'refuse':
        await intakes.call(intakes.second.submit(SUBMISSION))
    else:
        await intakes.call(intakes.second.cancel(JOB_ID))
    intakes.store.apply_delayed()
    assert await intakes.call(intakes.first.state(JOB_ID)) is IntakeVerdict.NOT_FOUND
