"""Jobs that no worker can run, while workers and leaders come and go."""

from datetime import timedelta

import pytest
from result import Err

from chiveworks.base import Failure, JobId, Resources, Step
from chiveworks.capacity._capacity_history import MEMORY
from chiveworks.dispatch._capacity_publisher import SETTLE
from chiveworks.dispatch.tests.deployment import (
    InMemoryDeployment,
    RecordingLog,
    start_leader,
)
from chiveworks.intake import (
    CapacityCheck,
    CapacityFollower,
    IntakeVerdict,
    JobIntake,
    UnservableJob,
)
from chiveworks.metastore import CAPACITY_KEY, LEADER_PREFIX, Replica, job_key
from chiveworks.metastore._candidacy import LEADER_TTL
from chiveworks.workflow import JobState, StepSpec, Tombstone, encode_tombstone

FITS_LARGE = StepSpec(1, Resources(6000, 1))
FITS_NONE = StepSpec(1, Resources(9000, 1))
REFUSAL = encode_tombstone(Tombstone(cancelled=False))
SETTLE_S = SETTLE.total_seconds() + 2


class Client:
    """A process that serves clients beside the leaders of a deployment."""

    def __init__(self, deployment):
        self.deployment = deployment
        replica = Replica(
            deployment.store,
            LEADER_PREFIX,
            lambda _name, stored: stored.decode(errors='replace'),
            deployment.clock,
            RecordingLog(deployment.clock),
        )
        check = CapacityCheck(deployment.clock, lambda: replica.last_success_at)
        replica.subscribe(CapacityFollower(check, deployment.log).update)
        deployment.spawn(replica.run())
        deployment.intake = JobIntake(
            deployment.store,
            deployment.clock,
            deployment.log,
            refusal_reason=lambda job: check.refusal_reason(
                job.spec, job.queue.service
            ),
        )
        self._count = 0

    async def refused(self, step):
        self._count += 1
        outcome = await self.deployment.submit(f'job{self._count}', step)
        assert outcome is IntakeVerdict.ACCEPTED or isinstance(outcome, UnservableJob)
        return isinstance(outcome, UnservableJob)


@pytest.fixture
async def deployment():
    """Two workers of 4 cores and one of 8."""
    created = InMemoryDeployment()
    created.add_worker('large', 8)
    yield created
    await created.close()


@pytest.fixture
async def client(deployment):
    return Client(deployment)


async def test_a_job_larger_than_any_worker_is_refused(deployment, client):
    """Guards against a job that waits for ever; only its refusal is stored."""
    await start_leader(deployment)
    await deployment.wait(SETTLE_S)
    before = set(deployment.store.items)
    assert await client.refused(FITS_NONE)
    key = job_key(JobId('job1'))
    assert set(deployment.store.items) - before == {key}
    assert before <= set(deployment.store.items)
    assert deployment.store.items[key].content == REFUSAL
    assert await deployment.state('job1') is IntakeVerdict.NOT_FOUND
    assert not await client.refused(FITS_LARGE)
    await deployment.wait(3)
    assert await deployment.state('job2') is JobState.COMPLETED


async def test_nothing_is_refused_before_the_leader_has_seen_the_workers(
    deployment, client
):
    """Guards against refusals by what a new leader, or none, knows."""
    assert not await client.refused(FITS_NONE)
    await start_leader(deployment)
    assert not await client.refused(FITS_NONE)
    await deployment.wait(SETTLE_S)
    assert await client.refused(FITS_NONE)


async def test_nothing_is_refused_for_want_of_workers(client):
    """Guards against refusals while no worker is listed."""
    deployment = client.deployment
    for name in tuple(deployment.infos):
        deployment.store.remove(f'workers/{name}')
    await start_leader(deployment)
    await deployment.wait(SETTLE_S)
    assert not await client.refused(FITS_NONE)


async def test_workers_that_drain_or_are_gone_count_for_a_while(deployment, client):
    """Guards against refusals while a worker is replaced by one of its kind."""
    await start_leader(deployment)
    await deployment.wait(SETTLE_S)
    deployment.change_worker('large', draining=True)
    await deployment.wait(2)
    assert not await client.refused(FITS_LARGE)
    deployment.runners['large'].leave()
    deployment.store.remove('workers/large')
    await deployment.wait(MEMORY.total_seconds() - 5)
    assert not await client.refused(FITS_LARGE)
    await deployment.wait(30)
    assert await client.refused(FITS_LARGE)
    deployment.add_worker('larger', 8)
    await deployment.wait(2)
    assert not await client.refused(FITS_LARGE)


async def test_a_new_leader_counts_what_the_last_one_saw(deployment, client):
    """Guards against refusals by a leader that never saw a worker that comes back."""
    first = await start_leader(deployment)
    await deployment.wait(SETTLE_S)
    deployment.runners['large'].leave()
    deployment.store.remove('workers/large')
    await deployment.kill(first)
    assert await client.refused(FITS_NONE)
    await deployment.wait(LEADER_TTL.total_seconds() + 0.2)
    assert not await client.refused(FITS_NONE)
    await start_leader(deployment, 'b')
    await deployment.wait(SETTLE_S)
    assert await client.refused(FITS_NONE)
    assert not await client.refused(FITS_LARGE)


async def test_the_record_is_written_only_when_it_changes(deployment):
    """Guards against a write that every process reads again every 0.7 s."""
    await start_leader(deployment)
    await deployment.wait(SETTLE_S)
    revision = deployment.store.items[CAPACITY_KEY].revision
    await deployment.wait(10)
    assert deployment.store.items[CAPACITY_KEY].revision == revision
    deployment.add_worker('small', 2)
    await deployment.wait(2)
    assert deployment.store.items[CAPACITY_KEY].revision > revision


@pytest.mark.parametrize('stored', [b'', b'\xc1', b'[]', b'{"form": 2}'])
async def test_a_record_that_cannot_be_read_is_replaced(deployment, client, stored):
    """Guards against a record of another version that stops a leader or its work."""
    deployment.store.put(CAPACITY_KEY, stored)
    await start_leader(deployment)
    assert not await client.refused(FITS_NONE)
    await deployment.wait(SETTLE_S)
    assert await client.refused(FITS_NONE)
    skipped = deployment.log.named('entry_skipped')
    assert [line['key'] for line in skipped] == [CAPACITY_KEY, CAPACITY_KEY]


async def test_a_leader_that_cannot_read_the_list_withdraws_the_record(
    deployment, client
):
    """Guards against refusals while a leader does not learn of new workers."""
    await start_leader(deployment)
    await deployment.wait(SETTLE_S)
    assert await client.refused(FITS_NONE)
    watch = deployment.store.watch

    async def fail_for_workers(prefix, after, wait):
        if prefix == 'workers/':
            return Err(Failure.not_run(Step.STORE_READ, 'test', 'refused'))
        return await watch(prefix, after, wait)

    deployment.store.watch = fail_for_workers
    await deployment.wait(6)
    assert not await client.refused(FITS_NONE)
    deployment.store.watch = watch
    await deployment.wait(3)
    assert await client.refused(FITS_NONE)


def test_settling_is_longer_than_an_outage_of_the_list():
    """Guards against refusals before expired entries are listed again."""
    assert timedelta(seconds=2) + LEADER_TTL < SETTLE
