"""Submissions of jobs that no worker can run."""

import asyncio
from datetime import timedelta

import pytest

from chiveworks.accounts import ClientAccount
from chiveworks.base import AccountName, JobId, ManualClock, Resources
from chiveworks.capacity import CapacityRecord, ServiceCapacity, WorkerShape
from chiveworks.dispatch.tests.deployment import RecordingLog
from chiveworks.intake import (
    CapacityCheck,
    CapacityFollower,
    IntakeVerdict,
    JobIntake,
    UnservableJob,
)
from chiveworks.intake._capacity_check import MAX_AGE
from chiveworks.metastore import CAPACITY_KEY
from chiveworks.workflow import (
    JobSpec,
    QueuePolicy,
    Recurrence,
    StepSpec,
    Submission,
    Tombstone,
    decode_record,
)
from standins.metadata import MemoryMetadataStore

LEADER = 'a 1 2'
SHAPE = WorkerShape(Resources(4000, 10), frozenset(('kind-a', 'r1')))
RECORD = CapacityRecord(LEADER, {'pool': ServiceCapacity({SHAPE: 2})})
SMALL = StepSpec(1, Resources(4000, 10))
LARGE = StepSpec(1, Resources(4001, 10))
UNSERVABLE = {
    'processors': LARGE,
    'memory': StepSpec(1, Resources(1, 11)),
    'accelerators': StepSpec(1, Resources(1, 1, 1)),
    'label': StepSpec(1, Resources(1, 1), required_label='kind-b'),
    'gang': StepSpec(9, Resources(1000, 1), gang=True),
    'apart': StepSpec(3, Resources(1, 1), gang=True, worker_limit=1),
}


class Intake:
    """Intake that has read the record of the present leader."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = MemoryMetadataStore(self.clock)
        self.log = RecordingLog(self.clock)
        self.contact_at = timedelta()
        self.check = CapacityCheck(self.clock, lambda: self.contact_at)
        self.follower = CapacityFollower(self.check, self.log)
        self.follower.update('holder', LEADER)
        self.follower.update('capacity', RECORD.encode().decode())
        self.intake = JobIntake(
            self.store,
            self.clock,
            self.log,
            refusal_reason=lambda job: self.check.refusal_reason(
                job.spec, job.queue.service
            ),
        )

    async def submit(self, *steps, service='pool', recurrence=None, seconds=3):
        spec = JobSpec('x', steps, recurrence)
        submission = Submission(JobId('j'), QueuePolicy('q', service), spec)
        call = asyncio.create_task(self.intake.submit(submission))
        await self.clock.advance(timedelta(seconds=seconds))
        return call.result()

    def stored_records(self):
        return [
            decode_record(JobId('j'), item.content)
            for item in self.store.items.values()
        ]


@pytest.fixture
def intake():
    return Intake()


@pytest.mark.parametrize('step', UNSERVABLE.values(), ids=UNSERVABLE)
async def test_a_job_that_no_worker_can_run_is_refused_at_once(intake, step):
    """Guards against a job that waits for ever without its client learning of it."""
    outcome = await intake.submit(SMALL, step, seconds=0)
    assert isinstance(outcome, UnservableJob)
    assert 'step 1 cannot run on service pool' in outcome.reason
    assert intake.stored_records() == [Tombstone(cancelled=False)]
    (line,) = intake.log.named('job_submitted')
    assert (line['outcome'], line['reason']) == ('unservable', outcome.reason)


async def test_a_job_that_has_been_accepted_stays_accepted(intake):
    """Guards against "not run" for a job that is stored and may run."""
    intake.follower.update('holder', None)
    intake.store.faults.lose_answers = 1
    assert await intake.submit(LARGE) is IntakeVerdict.ACCEPTED
    intake.follower.update('holder', LEADER)
    assert await intake.submit(LARGE) is IntakeVerdict.ACCEPTED


async def test_a_job_is_not_refused_for_its_size_while_the_store_is_away(intake):
    """Guards against "never" where the store cannot tell whether the job is stored."""
    intake.store.faults.refuse = True
    assert await intake.submit(LARGE) is IntakeVerdict.REFUSED
    assert not intake.store.items


@pytest.mark.parametrize(
    ('name', 'entry'),
    [
        ('holder', None),
        ('holder', 'b 1 2'),
        ('capacity', None),
        ('capacity', CapacityRecord(LEADER).encode().decode()),
        ('capacity', CapacityRecord('earlier', RECORD.services).encode().decode()),
        (
            'capacity',
            CapacityRecord(LEADER, {'pool': ServiceCapacity()}).encode().decode(),
        ),
    ],
)
async def test_missing_knowledge_refuses_nothing(intake, name, entry):
    """Guards against refusals without a leader, or by one that saw no workers."""
    intake.follower.update(name, entry)
    assert await intake.submit(*UNSERVABLE.values()) is IntakeVerdict.ACCEPTED


async def test_an_unknown_service_refuses_nothing(intake):
    """Guards against refusals for a service that has just been added."""
    assert await intake.submit(LARGE, service='new') is IntakeVerdict.ACCEPTED


async def test_old_knowledge_refuses_nothing(intake):
    """Guards against refusals by a process that is cut off from the store's changes."""
    await intake.clock.advance(MAX_AGE)
    assert isinstance(await intake.submit(LARGE, seconds=0), UnservableJob)
    await intake.clock.advance(timedelta(milliseconds=1))
    assert await intake.submit(LARGE) is IntakeVerdict.ACCEPTED


@pytest.mark.parametrize('stored', ['', '\ufffd', '[]', '{"form": 2}'])
async def test_a_record_of_another_form_refuses_nothing(intake, stored):
    """Guards against refusals by a record of another version, which is named once."""
    intake.follower.update('capacity', stored)
    assert await intake.submit(LARGE) is IntakeVerdict.ACCEPTED
    (line,) = intake.log.named('entry_skipped')
    assert line['key'] == CAPACITY_KEY


async def test_a_job_that_begins_later_is_not_refused(intake):
    """Guards against refusals of a job whose workers are added before it is due."""
    first_due = intake.clock.now() + timedelta(minutes=1)
    later = Recurrence(1, first_due, timedelta())
    assert await intake.submit(LARGE, recurrence=later) is IntakeVerdict.ACCEPTED
    intake.contact_at = intake.clock.monotonic()
    due = Recurrence(1, intake.clock.now(), timedelta())
    assert intake.check.refusal_reason(JobSpec('x', (LARGE,), due), 'pool')


ACCOUNT = ClientAccount(AccountName('a'), limit=Resources(4000, 0, 0))


@pytest.mark.parametrize(
    ('count', 'overrun', 'gang', 'refused'),
    [
        (5, 0, True, False),
        (6, 0, True, True),
        (6, 0.25, True, False),
        (7, 0.25, True, True),
        (7, 0, False, False),
    ],
)
def test_a_gang_that_its_account_can_never_hold_is_refused(
    intake, count, overrun, gang, refused
):
    """Guards against a gang that waits for ever for its account's limit, and against
    the refusal of one that may run alone."""
    check = CapacityCheck(intake.clock, lambda: intake.contact_at, overrun)
    spec = JobSpec('x', (SMALL, StepSpec(count, Resources(1000, 1), gang=gang)))
    reason = check.limit_refusal_reason(spec, ACCOUNT)
    assert bool(reason) is refused
    assert not refused or 'the limit of account a' in reason
    assert not check.limit_refusal_reason(spec, None)


def test_an_old_configuration_refuses_no_gang(intake):
    """Guards against refusals by a limit that the operators have raised since."""
    spec = JobSpec('x', (StepSpec(9, Resources(1000, 1), gang=True),))
    assert intake.check.limit_refusal_reason(spec, ACCOUNT)
    intake.clock.shift(MAX_AGE + timedelta(milliseconds=1))
    assert not intake.check.limit_refusal_reason(spec, ACCOUNT)
