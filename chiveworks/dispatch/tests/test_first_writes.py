"""Tests of terms whose first write, the record of leases, fails."""

from datetime import timedelta

import pytest
from result import Err

from chiveworks.base import Failure, Step
from chiveworks.dispatch.tests import test_handed_over_leases
from chiveworks.dispatch.tests.lasting_runner import add_lasting_worker
from chiveworks.dispatch.tests.test_handed_over_leases import (
    LinkedDeployment,
    StoreLink,
    check_one_run,
    start_task,
)
from chiveworks.dispatch.tests.test_departing_workers import RESTART_LIMIT
from chiveworks.metastore import JOB_PREFIX, LEASES_KEY

LISTING_TIME = timedelta(seconds=1.5)


class FaultyLink(StoreLink):
    """Connection to the store on which the writes of lease records fail.

    Args:
        deployment: Deployment with the store.
        fault: What happens to the writes: 'refuse', 'lose' (the response) or 'delay'.
        delay_s: Time after which delayed writes are applied, in seconds.
    """

    def __init__(self, deployment, fault, delay_s=0):
        super().__init__(deployment)
        self.fault = fault
        self.faults = 0
        self._delay = timedelta(seconds=delay_s)

    async def commit(self, transaction):
        if LEASES_KEY not in transaction.writes or not self.fault:
            return await super().commit(transaction)
        self.faults += 1
        if self.fault == 'refuse':
            return Err(Failure.not_run(Step.STORE_WRITE, 'store', '429'))
        if self.fault == 'lose':
            await super().commit(transaction)
        else:
            self._deployment.spawn(self._commit_late(transaction))
        return Err(Failure.unknown(Step.STORE_WRITE, 'store', 'no response'))

    async def _commit_late(self, transaction):
        await self._deployment.clock.sleep(self._delay)
        await self._deployment.store.commit(transaction)


class SlowLink(StoreLink):
    """Connection to the store on which the jobs are listed slowly."""

    async def read_all(self, prefix):
        if prefix == JOB_PREFIX:
            await self._deployment.clock.sleep(LISTING_TIME)
        return await self._deployment.store.read_all(prefix)


@pytest.fixture
async def linked():
    created = LinkedDeployment()
    for name in ('w0', 'w1'):
        add_lasting_worker(created, name)
    yield created
    await created.close()


async def begin_term(linked, monkeypatch, process, link, customize=None):
    """Starts a process with a link to the store and waits for its first write."""
    with monkeypatch.context() as patch:
        patch.setattr(test_handed_over_leases, 'StoreLink', lambda _deployment: link)
        task = linked.add_process(process, customize)
    while not link.faults:
        await linked.wait(0.005)
    return task


async def record_lost_worker(linked):
    """Has the first leader record the task's worker and die; returns the worker."""
    first, name = await start_task(linked)
    linked.cuts.add(('a', name))
    await linked.wait(4)
    await linked.kill(first)
    return name


@pytest.mark.parametrize('count', [1, 3])
async def test_terms_without_a_write_do_not_extend_the_wait_for_a_lost_worker(
    linked, monkeypatch, count
):
    """Guards against a lasting task that waits for a whole lease once more: a term that
    had written nothing made the record of the term before it worthless."""
    process, (task, name) = 'a', await start_task(linked)
    await linked.wait(2)
    linked.runners[name].leave()
    linked.store.remove(f'workers/{name}')
    await linked.wait(4)
    for number in range(count):
        await linked.leaders[process].resign()
        await linked.kill(task)
        process = f'b{number}'
        link = FaultyLink(linked, 'refuse')
        task = await begin_term(linked, monkeypatch, process, link)
    await linked.leaders[process].resign()
    await linked.kill(task)
    linked.add_process('c')
    await linked.wait(3.5)
    assert linked.running_on()


@pytest.mark.parametrize(
    ('fault', 'delay_s'), [('refuse', 0), ('lose', 0), ('delay', 0.3), ('delay', 3)]
)
@pytest.mark.parametrize('lead_s', [0.05, 2])
async def test_a_first_write_that_fails_causes_no_second_run(
    linked, monkeypatch, fault, delay_s, lead_s
):
    """Guards against a second run beside the first: the next leader read the record of
    an earlier term although this one had extended the lease."""
    name = await record_lost_worker(linked)
    link = FaultyLink(linked, fault, delay_s)
    second = await begin_term(linked, monkeypatch, 'b', link)
    await check_one_run(linked, lead_s)
    await linked.kill(second)
    linked.cuts.add(('c', name))
    linked.add_process('c')
    await check_one_run(linked, 12)
    assert linked.running_on()


async def test_a_lease_is_not_extended_before_an_unreadable_record_is_replaced(
    linked, monkeypatch
):
    """Guards against a second run beside the first: a leader that could not read the
    record extended the lease, and the next one, which could read it, did not know."""
    name = await record_lost_worker(linked)

    def fail_to_read(scheduler):
        inherit = scheduler.leases.inherit
        scheduler.leases.inherit = lambda _stored: inherit(b'\xc1')

    link = FaultyLink(linked, 'refuse')
    second = await begin_term(linked, monkeypatch, 'b', link, fail_to_read)
    await linked.wait(1)
    await linked.kill(second)
    linked.cuts.add(('c', name))
    linked.add_process('c')
    await check_one_run(linked, 12)
    assert linked.running_on()


async def test_refused_writes_from_the_first_one_on_end_no_run(linked, monkeypatch):
    """Guards against runs that lapse because a new leader, whose lease is renewed, waits
    for its first write before it extends any lease."""
    first, name = await start_task(linked)
    await linked.wait(1)
    await linked.leaders['a'].resign()
    await linked.kill(first)
    link = FaultyLink(linked, 'refuse')
    await begin_term(linked, monkeypatch, 'b', link)
    await linked.wait(10)
    link.fault = ''
    await linked.wait(2)
    assert [entry[0] for entry in linked.runners[name].history] == ['start']


@pytest.mark.parametrize('count', [1, 3, 5])
async def test_terms_that_end_in_a_slow_recovery_do_not_extend_an_unrecorded_wait(
    linked, monkeypatch, count
):
    """Guards against a whole lease that is waited for anew by each leader, after a worker
    was lost while no process led."""
    first, name = await start_task(linked)
    await linked.wait(2)
    await linked.leaders['a'].resign()
    await linked.kill(first)
    linked.runners[name].leave()
    linked.store.remove(f'workers/{name}')
    for number in range(count):
        process = f'b{number}'
        with monkeypatch.context() as patch:
            patch.setattr(test_handed_over_leases, 'StoreLink', SlowLink)
            task = linked.add_process(process)
        await linked.wait(1)
        await linked.leaders[process].resign()
        await linked.kill(task)
    linked.add_process('c')
    await linked.wait(RESTART_LIMIT - count)
    assert linked.running_on()
