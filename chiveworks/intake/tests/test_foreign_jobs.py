"""Calls for jobs that belong to another client account."""

import asyncio
from collections import Counter
from dataclasses import replace
from datetime import timedelta

import msgpack
import pytest

from chiveworks.base import AccountName, JobId, ManualClock, Resources
from chiveworks.dispatch.tests.deployment import RecordingLog
from chiveworks.intake import Caller, IntakeVerdict, JobIntake, UnservableJob
from chiveworks.metastore import job_key
from chiveworks.workflow import (
    JobOwner,
    JobSpec,
    JobState,
    QueuePolicy,
    StepSpec,
    Submission,
    Tombstone,
    encode_final_state,
    encode_submission,
    encode_tombstone,
)
from standins.metadata import MemoryMetadataStore

JOB_ID = JobId('j')
OWNER, OTHER = AccountName('owner'), AccountName('other')
OWN_CALLER, FOREIGN_CALLER = Caller(OWNER, 'q'), Caller(OTHER, 'q')
SUBMISSION = Submission(
    JOB_ID,
    QueuePolicy('q', 'pool'),
    JobSpec('x', (StepSpec(1, Resources(1)),)),
    account=OWNER,
)
RECORDS = {
    'open': encode_submission(SUBMISSION),
    'cancelled': encode_submission(replace(SUBMISSION, cancelled=True)),
    'ended': encode_final_state(JobState.COMPLETED, SUBMISSION.owner),
}
#: Records that state no account, so that there is nothing to compare with.
ANONYMOUS_RECORDS = {
    'open': encode_submission(replace(SUBMISSION, account=AccountName(''))),
    'ended': msgpack.packb({'state': 'completed'}),
    'tombstone': encode_tombstone(Tombstone(cancelled=True)),
}


class CountingStore(MemoryMetadataStore):
    """Counts its calls by kind."""

    def __init__(self, clock):
        super().__init__(clock)
        self.calls = Counter()

    async def read(self, key, *, stale=False):
        self.calls['read'] += 1
        return await super().read(key, stale=stale)

    async def commit(self, transaction):
        self.calls['commit'] += 1
        return await super().commit(transaction)


class Harness:
    """Intake with a store that may hold a job."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = CountingStore(self.clock)
        self.log = RecordingLog(self.clock)
        self.reason = ''
        self.intake = JobIntake(
            self.store, self.clock, self.log, refusal_reason=lambda _job: self.reason
        )

    async def call(self, work):
        task = asyncio.create_task(work)
        await self.clock.advance(timedelta(seconds=3))
        return task.result()

    async def call_all(self, caller):
        account = caller.account if caller else AccountName('')
        submission = replace(SUBMISSION, account=account)
        return [
            await self.call(self.intake.state(JOB_ID, caller)),
            await self.call(self.intake.submit(submission, caller)),
            await self.call(self.intake.cancel(JOB_ID, caller)),
        ]


@pytest.fixture
def harness():
    return Harness()


@pytest.mark.parametrize('stored', RECORDS.values(), ids=RECORDS)
async def test_a_job_of_another_account_is_neither_shown_nor_changed(harness, stored):
    """Guards against an account that reads, cancels or replaces the job of another."""
    harness.store.put(job_key(JOB_ID), stored)
    before = dict(harness.store.items)
    verdicts = await harness.call_all(FOREIGN_CALLER)
    assert verdicts == [IntakeVerdict.FOREIGN] * 3
    assert harness.store.items == before
    # The submission is compared in the answer of the write that conflicts.
    assert harness.store.calls == {'read': 2, 'commit': 1}


@pytest.mark.parametrize('stored', RECORDS.values(), ids=RECORDS)
async def test_a_refusal_of_a_foreign_job_leaves_no_tombstone(harness, stored):
    """Guards against a job that is refused for its size in place of a foreign one."""
    harness.store.put(job_key(JOB_ID), stored)
    before = dict(harness.store.items)
    harness.reason = 'too large'
    submission = replace(SUBMISSION, account=OTHER)
    verdict = await harness.call(harness.intake.submit(submission, FOREIGN_CALLER))
    assert verdict is IntakeVerdict.FOREIGN
    assert harness.store.items == before
    own = await harness.call(harness.intake.submit(SUBMISSION, OWN_CALLER))
    assert own is IntakeVerdict.ACCEPTED
    harness.store.remove(job_key(JOB_ID))
    own = await harness.call(harness.intake.submit(SUBMISSION, OWN_CALLER))
    assert isinstance(own, UnservableJob)


@pytest.mark.parametrize('caller', [OWN_CALLER, None], ids=['own', 'no-accounts'])
@pytest.mark.parametrize('stored', RECORDS.values(), ids=RECORDS)
async def test_own_jobs_are_served(harness, stored, caller):
    """Guards against 403 for a job of the caller, or where nothing is checked."""
    harness.store.put(job_key(JOB_ID), stored)
    state = await harness.call(harness.intake.state(JOB_ID, caller))
    assert isinstance(state, JobState)
    for work in (
        harness.intake.submit(SUBMISSION, caller),
        harness.intake.cancel(JOB_ID, caller),
    ):
        assert await harness.call(work) is IntakeVerdict.ACCEPTED


@pytest.mark.parametrize('stored', ANONYMOUS_RECORDS.values(), ids=ANONYMOUS_RECORDS)
async def test_records_without_account_are_served_to_all(harness, stored):
    """Guards against clients that lose their jobs when accounts are introduced."""
    unchecked = Harness()
    for each in (harness, unchecked):
        each.store.put(job_key(JOB_ID), stored)
    expected = await unchecked.call_all(None)
    assert await harness.call_all(OWN_CALLER) == expected
    assert IntakeVerdict.FOREIGN not in expected


@pytest.mark.parametrize('stored', RECORDS.values(), ids=RECORDS)
async def test_a_public_route_gives_no_access_to_jobs_of_other_queues(harness, stored):
    """Guards against the job of an account that anybody reads or cancels through a
    public route, and against one that its own client loses when its route is opened."""
    harness.store.put(job_key(JOB_ID), stored)
    elsewhere = Caller(AccountName(''), 'public')
    assert await harness.call_all(elsewhere) == [IntakeVerdict.FOREIGN] * 3
    opened = Caller(AccountName(''), 'q')
    assert IntakeVerdict.FOREIGN not in await harness.call_all(opened)


async def test_a_job_that_the_store_applies_late_is_its_clients_own(harness):
    """Guards against 403 for a job whose first submission had an unknown outcome."""
    harness.store.faults.delay_writes = 1
    call = asyncio.create_task(harness.intake.submit(SUBMISSION, OWN_CALLER))
    await asyncio.sleep(0)
    harness.store.faults.refuse = True
    await harness.clock.advance(timedelta(seconds=3))
    assert call.result() is IntakeVerdict.UNKNOWN
    harness.store.faults.refuse = False
    harness.store.apply_delayed()
    assert IntakeVerdict.FOREIGN not in await harness.call_all(OWN_CALLER)


async def test_a_lost_response_does_not_make_a_job_foreign(harness):
    """Guards against 403 for a job that the same call has just stored."""
    harness.store.faults.lose_answers = 1
    verdict = await harness.call(harness.intake.submit(SUBMISSION, OWN_CALLER))
    assert verdict is IntakeVerdict.ACCEPTED
    harness.store.faults.lose_answers = 1
    verdict = await harness.call(harness.intake.cancel(JOB_ID, OWN_CALLER))
    assert verdict is IntakeVerdict.ACCEPTED


async def test_submissions_are_logged_with_their_account_and_foreign_ones_rarely(
    harness,
):
    """Guards against a flood of calls for foreign jobs that fills the log."""
    await harness.call(harness.intake.submit(SUBMISSION, OWN_CALLER))
    foreign = replace(SUBMISSION, account=OTHER)
    for _ in range(5):
        verdicts = [
            await harness.intake.submit(foreign, FOREIGN_CALLER),
            await harness.intake.cancel(JOB_ID, FOREIGN_CALLER),
        ]
        assert verdicts == [IntakeVerdict.FOREIGN] * 2
    accounts = [line['account'] for line in harness.log.named('job_submitted')]
    assert accounts == [OWNER, OTHER]
    assert len(harness.log.named('cancel_requested')) == 1


def test_the_owner_of_a_submission_is_its_account_and_queue():
    """Guards against a final record that names another owner than its submission."""
    assert SUBMISSION.owner == JobOwner(OWNER, 'q')
