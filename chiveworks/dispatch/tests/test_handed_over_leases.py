"""Tests of leases that are handed over: never too short, and extended once possible."""

from datetime import timedelta

import pytest
from result import Err

from chiveworks.base import EntryId, Failure, JobId, Resources, Step
from chiveworks.dispatch import Leader, OrderOutcome
from chiveworks.dispatch.tests.deployment import EAGER, InMemoryDeployment
from chiveworks.dispatch.tests.lasting_runner import LASTING, add_lasting_worker
from chiveworks.metastore import Election
from chiveworks.workflow import StepSpec, TaskRef

REF = TaskRef(JobId(LASTING), 0, 0, 0)
STEP = StepSpec(1, Resources(1000, 1), long_running=True)


class Link:
    """Connection of one process to one worker."""

    def __init__(self, deployment, process, name):
        self._runner = deployment.runners[name]
        self._cuts = deployment.cuts
        self._key = (process, name)

    async def start(self, order):
        if self._key in self._cuts:
            return OrderOutcome.UNKNOWN
        return await self._runner.start(order)

    async def stop(self, *arguments):
        if self._key in self._cuts:
            return OrderOutcome.UNKNOWN
        return await self._runner.stop(*arguments)

    async def poll(self, *arguments):
        if self._key not in self._cuts:
            result = await self._runner.poll(*arguments)
            if self._key not in self._cuts:
                return result
        return Err(Failure.unknown(Step.RENEW, 'runner', 'cut'))

    async def reset(self):
        """Does nothing; there are no connections."""

    async def close(self):
        """Does nothing; there are no connections."""


class StoreLink:
    """Connection to a store that refuses transactions while it is asked to."""

    def __init__(self, deployment):
        self._deployment = deployment

    def __getattr__(self, name):
        return getattr(self._deployment.store, name)

    async def read(self, key, *, stale=False):
        return await self._deployment.store.read(key, stale=stale)

    async def commit(self, transaction):
        if self._deployment.refuse_writes:
            return Err(Failure.not_run(Step.STORE_WRITE, 'store', '429'))
        return await self._deployment.store.commit(transaction)


class LinkedDeployment(InMemoryDeployment):
    """Deployment with a connection of its own for each process and worker."""

    def __init__(self):
        super().__init__(workers=0)
        self.cuts = set()
        self.refuse_writes = False

    def add_process(self, name, customize=None):
        """Starts a process; `customize` changes the scheduler of each of its terms."""
        store = StoreLink(self)
        election = Election(store, self.clock, self.log, EntryId(name), EAGER)

        def create_scheduler(term):
            scheduler = self._create_scheduler(term)
            scheduler.fleet._connect = lambda info: Link(self, name, info.address)
            if customize is not None:
                customize(scheduler)
            return scheduler

        leader = Leader(
            store,
            self.clock,
            self.log,
            election,
            create_scheduler,
            self._follow_workers,
        )
        self.leaders[name] = leader
        self.spawn(election.leader.run())
        return self.spawn(leader.run())

    def running_on(self):
        """Returns the workers that run the task."""
        return [name for name, each in self.runners.items() if REF in each.running]


@pytest.fixture
async def linked():
    created = LinkedDeployment()
    for name in ('w0', 'w1'):
        add_lasting_worker(created, name)
    yield created
    await created.close()


async def start_task(linked, process='a'):
    """Starts the first leader and the task; returns its process and its worker."""
    task = linked.add_process(process)
    await linked.wait(0.5)
    await linked.submit(REF.job_id, STEP)
    (name,) = linked.running_on()
    return task, name


async def check_one_run(linked, seconds):
    """Checks all the time that the task runs at most once."""
    for _ in range(int(seconds / 0.05)):
        await linked.wait(0.05)
        assert len(linked.running_on()) <= 1


async def test_no_lease_is_extended_while_the_stored_record_names_its_worker(linked):
    """Guards against a second run beside the first: the worker responded again, its
    lease was extended, and the next leader read the time left before the extension."""
    first, name = await start_task(linked)
    linked.cuts.add(('a', name))
    await linked.wait(4)
    linked.refuse_writes = True
    linked.cuts.clear()
    await linked.wait(1.2)
    await linked.kill(first)
    linked.refuse_writes = False
    linked.cuts.add(('b', name))
    linked.add_process('b')
    await check_one_run(linked, 12)
    assert linked.running_on()


def ignore_leases(scheduler):
    """Makes a scheduler one of the version before the leases were handed over.

    It writes, but no record of leases, and extends all leases in full.
    """
    leases = scheduler.leases
    open_lease = leases.open

    def open_unfrozen(worker_id):
        lease = open_lease(worker_id)
        lease.frozen = False
        return lease

    leases.inherit = lambda _stored: None
    leases.confirm = lambda: leases._term.write({})
    leases.open = open_unfrozen
    leases.end_recovery = lambda _unreached: None
    leases.check = lambda _unreached: None


async def test_a_leader_of_an_earlier_version_in_between_causes_no_second_run(linked):
    """Guards against a second run beside the first: a leader of an earlier version left
    the record in the store and extended the lease."""
    first, name = await start_task(linked)
    linked.cuts.add(('a', name))
    await linked.wait(4)
    await linked.kill(first)
    earlier_version = linked.add_process('b', ignore_leases)
    await linked.wait(5)
    assert linked.running_on() == [name]
    await linked.kill(earlier_version)
    linked.cuts.add(('c', name))
    linked.add_process('c')
    await check_one_run(linked, 12)
    assert linked.running_on()


async def test_a_record_that_cannot_be_read_causes_no_second_run(linked):
    """Guards against a second run beside the first: a leader could not read the record,
    extended the lease before its own record was stored, and the next leader read it."""
    first, name = await start_task(linked)
    linked.cuts.add(('a', name))
    await linked.wait(4)
    await linked.kill(first)

    def fail_to_read(scheduler):
        inherit = scheduler.leases.inherit
        scheduler.leases.inherit = lambda _stored: inherit(b'\xc1')

    second = linked.add_process('b', fail_to_read)
    while linked.leaders['b'].scheduler is None:
        await linked.wait(0.01)
    linked.refuse_writes = True
    await linked.wait(4)
    assert linked.running_on() == [name]
    await linked.kill(second)
    linked.refuse_writes = False
    linked.cuts.add(('c', name))
    linked.add_process('c')
    await check_one_run(linked, 12)
    assert linked.running_on()


async def test_a_run_outlasts_refused_writes_after_a_short_loss_of_its_worker(linked):
    """Guards against a run that lapses although its worker responds and the leader keeps
    its term: the lease stays frozen while the store refuses transactions."""
    _first, name = await start_task(linked)
    linked.cuts.add(('a', name))
    await linked.wait(1)
    linked.refuse_writes = True
    linked.cuts.clear()
    await linked.wait(10)
    linked.refuse_writes = False
    await linked.wait(1)
    assert len(linked.log.named('leadership_gained')) == 1
    assert [entry[0] for entry in linked.runners[name].history] == ['start']


@pytest.mark.parametrize('announced', [False, True])
async def test_workers_lost_together_are_no_crashes_for_the_next_leader(
    linked, announced
):
    """Guards against tasks that count as suspects, and start one by one, after the loss
    of many workers: the next leader released the runs of one worker at a time."""
    for number in range(2, 12):
        add_lasting_worker(linked, f'w{number}')
    linked.add_process('a')
    await linked.wait(0.5)
    step = StepSpec(12, Resources(1000, 1), long_running=True, worker_limit=1)
    await linked.submit(REF.job_id, step)
    await linked.wait(2)
    lost = [f'w{number}' for number in range(6)]
    for name in lost:
        if announced:
            linked.change_worker(name, draining=True, remaining=timedelta(seconds=9))
    for name in lost:
        # Workers are polled, and their leases extended, at different times.
        linked.runners[name].leave()
        await linked.wait(0.2)
    for name in lost:
        linked.store.remove(f'workers/{name}')
    await linked.wait(1)
    await linked.leaders['a'].resign()
    linked.cuts.update({('a', name) for name in linked.runners})
    linked.add_process('b')
    await linked.wait(0.5)
    counts = set()
    for _ in range(200):
        await linked.wait(0.05)
        for leader in linked.leaders.values():
            if leader.scheduler is not None:
                job = leader.scheduler.table.jobs.get(REF.job_id)
                counts.update(task.crashes for task in job.tasks())
    assert len(linked.log.named('run_lost')) >= len(lost)
    assert counts == {0}
