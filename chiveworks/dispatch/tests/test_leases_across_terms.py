"""Tests of leases that outlast several terms, each of which ends early."""

import functools
import itertools

import pytest

from chiveworks.dispatch.tests import test_handed_over_leases
from chiveworks.dispatch.tests.lasting_runner import add_lasting_worker
from chiveworks.dispatch.tests.test_departing_workers import RESTART_LIMIT
from chiveworks.dispatch.tests.test_first_writes import FaultyLink, SlowLink
from chiveworks.dispatch.tests.test_handed_over_leases import (
    REF,
    STEP,
    LinkedDeployment,
    check_one_run,
    start_task,
)
from chiveworks.metastore import LEASES_KEY

PROCESSES = 6


class Terms:
    """Processes that follow each other as leaders."""

    def __init__(self, linked):
        self._linked = linked
        self._tasks = {}
        self._names = (f'p{number}' for number in itertools.count())

    def add(self, count=1):
        """Starts processes; returns the name of the last one."""
        for _ in range(count):
            name = next(self._names)
            self._tasks[name] = self._linked.add_process(name)
        return name

    def leader(self):
        """Returns the name of the process that leads; empty if none does."""
        schedulers = (
            (name, self._linked.leaders[name].scheduler) for name in self._tasks
        )
        return next((name for name, each in schedulers if each is not None), '')

    async def end(self, *, killed):
        """Ends the process that leads; returns its name."""
        name = self.leader()
        task = self._tasks.pop(name)
        if not killed:
            await self._linked.leaders[name].resign()
        await self._linked.kill(task)
        return name

    async def wait_for_leader(self, settle_s=0.05):
        """Waits until a process leads, and then for `settle_s` seconds."""
        while not self.leader():
            await self._linked.wait(0.01)
        await self._linked.wait(settle_s)


class LateRecordLink(FaultyLink):
    """Connection to the store on which records fail after the first ones.

    Args:
        deployment: Deployment with the store.
        fault: As of `FaultyLink`.
        delay_s: As of `FaultyLink`.
        stored: Number of records that are stored before.
    """

    def __init__(self, deployment, fault, delay_s, stored):
        super().__init__(deployment, '', delay_s)
        self._fault = fault
        self._stored = stored

    async def commit(self, transaction):
        if LEASES_KEY in transaction.writes:
            self.fault = '' if self._stored else self._fault
            self._stored -= bool(self._stored)
        return await super().commit(transaction)


@pytest.fixture
async def linked():
    created = LinkedDeployment()
    for name in ('w0', 'w1'):
        add_lasting_worker(created, name)
    yield created
    await created.close()


def lose(linked, name, *, announced):
    """Ends a worker; one that has announced its departure leaves the list as well."""
    linked.runners[name].leave()
    if announced:
        linked.store.remove(f'workers/{name}')


@pytest.mark.parametrize('announced', [False, True])
@pytest.mark.parametrize('killed', [False, True])
@pytest.mark.parametrize('gap_s', [0.05, 0.3, 1])
@pytest.mark.parametrize('count', [2, 4])
async def test_leaders_that_end_in_a_row_do_not_extend_the_wait_for_a_lost_worker(
    linked, count, gap_s, killed, announced
):
    """Guards against a lasting task that waits for a whole lease anew with each leader
    that ends before it has found its worker out of reach."""
    terms = Terms(linked)
    terms.add(PROCESSES)
    await terms.wait_for_leader()
    await linked.submit(REF.job_id, STEP)
    (name,) = linked.running_on()
    await linked.wait(1)
    lose(linked, name, announced=announced)
    lost_at = linked.clock.monotonic()
    for _ in range(count):
        await linked.wait(gap_s)
        await terms.end(killed=killed)
        await terms.wait_for_leader()
    waited = (linked.clock.monotonic() - lost_at).total_seconds()
    await linked.wait(max(RESTART_LIMIT - waited, 0))
    assert linked.running_on()


@pytest.mark.parametrize('count', [1, 3])
async def test_a_process_that_has_just_started_knows_of_terms_that_wrote_nothing(
    linked, monkeypatch, count
):
    """Guards against a whole lease that is waited for anew by a process that has not seen
    the terms since the last record."""
    terms = Terms(linked)
    terms.add()
    await terms.wait_for_leader()
    with monkeypatch.context() as patch:
        refuse = functools.partial(FaultyLink, fault='refuse')
        patch.setattr(test_handed_over_leases, 'StoreLink', refuse)
        terms.add(count)
    await linked.submit(REF.job_id, STEP)
    (name,) = linked.running_on()
    await linked.wait(1)
    lose(linked, name, announced=False)
    lost_at = linked.clock.monotonic()
    for _ in range(count):
        await terms.end(killed=True)
        await terms.wait_for_leader(0.3)
    terms.add()
    await linked.wait(0.1)
    await terms.end(killed=True)
    await terms.wait_for_leader()
    waited = (linked.clock.monotonic() - lost_at).total_seconds()
    await linked.wait(max(RESTART_LIMIT - waited, 0))
    assert linked.running_on()


@pytest.mark.parametrize('count', [1, 3, 5])
async def test_processes_that_start_anew_do_not_extend_the_wait_for_a_lost_worker(
    linked, count
):
    """Guards against a whole lease that each leader waits for anew if it has not seen
    the terms before it."""
    terms = Terms(linked)
    terms.add()
    await terms.wait_for_leader()
    await linked.submit(REF.job_id, STEP)
    (name,) = linked.running_on()
    await linked.wait(1)
    lose(linked, name, announced=True)
    for _ in range(count):
        await linked.wait(1)
        await terms.end(killed=False)
        terms.add()
        await terms.wait_for_leader()
    await linked.wait(RESTART_LIMIT - 1.1 * count)
    assert linked.running_on()


@pytest.mark.parametrize(
    ('fault', 'delay_s'), [('refuse', 0), ('lose', 0), ('delay', 0.3), ('delay', 3)]
)
@pytest.mark.parametrize('stored', [0, 1, 2])
@pytest.mark.parametrize('lead_s', [0.05, 0.6])
@pytest.mark.parametrize('count', [2])
async def test_records_that_fail_in_any_term_cause_no_second_run(
    linked, monkeypatch, fault, delay_s, stored, lead_s, count
):
    """Guards against a second run beside the first: a leader extended the lease of a
    worker that responded, and the record in the store did not tell the next one."""
    process, (task, name) = 'a', await start_task(linked)
    await linked.wait(1)
    for number in range(count):
        await linked.kill(task)
        link = LateRecordLink(linked, fault, delay_s, stored)
        with monkeypatch.context() as patch:
            patch.setattr(test_handed_over_leases, 'StoreLink', lambda _linked: link)
            process = f'b{number}'
            task = linked.add_process(process)
        while linked.leaders[process].scheduler is None:
            await check_one_run(linked, 0.05)
        await check_one_run(linked, lead_s)
    await linked.kill(task)
    linked.cuts.add(('c', name))
    linked.add_process('c')
    await check_one_run(linked, 12)
    assert linked.running_on()


@pytest.mark.parametrize('content', [b'\xc1', b'', b'\x92\x01\x80'])
@pytest.mark.parametrize('listing', ['fast', 'slow'])
async def test_an_unreadable_record_between_terms_causes_no_second_run(
    linked, monkeypatch, content, listing
):
    """Guards against a second run beside the first: a leader that cannot read the record
    took the leases for lapsed."""
    task, name = await start_task(linked)
    await linked.wait(1)
    await linked.kill(task)
    linked.store.put(LEASES_KEY, content)
    with monkeypatch.context() as patch:
        if listing == 'slow':
            patch.setattr(test_handed_over_leases, 'StoreLink', SlowLink)
        second = linked.add_process('b')
    await check_one_run(linked, 3)
    await linked.kill(second)
    linked.cuts.add(('c', name))
    linked.add_process('c')
    await check_one_run(linked, 12)
    assert linked.running_on()


@pytest.mark.parametrize('gap_s', [0.05, 1])
@pytest.mark.parametrize('away_s', [0.5, 3, 5.5])
async def test_a_worker_that_responds_again_between_terms_runs_its_task_alone(
    linked, gap_s, away_s
):
    """Guards against a second run beside the first: a lease was extended after a record
    gave its end."""
    terms = Terms(linked)
    terms.add(PROCESSES)
    await terms.wait_for_leader()
    await linked.submit(REF.job_id, STEP)
    (name,) = linked.running_on()
    await linked.wait(1)
    names = tuple(linked.leaders)
    for number in range(4):
        if number % 2:
            linked.cuts.clear()
        else:
            linked.cuts.update((process, name) for process in names)
            await check_one_run(linked, away_s)
        while not terms.leader():
            await check_one_run(linked, 0.05)
        await check_one_run(linked, gap_s)
        await terms.end(killed=number < 2)
    linked.cuts.update((process, name) for process in names)
    await check_one_run(linked, 12)
    assert linked.running_on()


@pytest.mark.parametrize('listed', [False, True])
async def test_a_lapsed_lease_is_noticed_at_once(linked, listed):
    """Guards against a lasting task that waits for the end of a poll, and for the pause
    after it, although the lease of its worker has lapsed."""
    terms = Terms(linked)
    terms.add(PROCESSES)
    await terms.wait_for_leader()
    await linked.submit(REF.job_id, STEP)
    (name,) = linked.running_on()
    await linked.wait(1)
    lose(linked, name, announced=not listed)
    await linked.wait(2)
    await terms.end(killed=False)
    await terms.wait_for_leader()
    fleet = linked.leaders[terms.leader()].scheduler.fleet
    (lease,) = fleet.unreached_leases().values()
    left = lease.time_left(linked.clock.monotonic())
    await linked.wait(left.total_seconds() + 0.1)
    assert not fleet.unreached_leases()
