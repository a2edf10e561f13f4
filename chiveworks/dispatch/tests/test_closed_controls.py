"""Tests that a leader closes the clients of workers that it has opened."""

from collections import Counter
from datetime import timedelta

import pytest

from chiveworks.dispatch.tests.deployment import InMemoryDeployment, start_leader
from standins.runners import MemoryRunner


class CountingRunner(MemoryRunner):
    """Worker that counts how often its clients are closed.

    Attributes:
        closes: Number of calls.
        on_close: Called and awaited in the first of them, if set.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.closes = 0
        self.on_close = None

    async def close(self):
        """Counts the call."""
        self.closes += 1
        if self.on_close is not None and self.closes == 1:
            await self.on_close()


class CountingDeployment(InMemoryDeployment):
    """Deployment that counts the clients of each worker address.

    Attributes:
        opened: Number of clients by address.
    """

    def __init__(self):
        self.opened = Counter()
        super().__init__(workers=0)
        for name in ('w0', 'w1'):
            self.add_worker(name)
            self.add_address(name)

    def add_address(self, address):
        """Adds a runner at an address."""
        self.runners[address] = CountingRunner(self.clock)

    def closed(self):
        """Returns the number of closed clients by address."""
        return {address: runner.closes for address, runner in self.runners.items()}

    def _create_scheduler(self, term):
        scheduler = super()._create_scheduler(term)
        connect = scheduler.fleet._connect

        def count(info):
            self.opened[info.address] += 1
            return connect(info)

        scheduler.fleet._connect = count
        return scheduler


@pytest.fixture
async def counting():
    created = CountingDeployment()
    yield created
    await created.close()


async def test_the_end_of_a_term_closes_the_clients_of_all_workers(counting):
    """Guards against connections that a leader leaves open when it resigns."""
    process = await start_leader(counting)
    await counting.kill(process)
    await counting.leaders['a'].resign()
    assert counting.opened == {'w0': 1, 'w1': 1}
    assert counting.closed() == counting.opened


async def test_a_failed_recovery_closes_the_clients_of_workers(counting):
    """Guards against connections that stay open because the term ends before the
    session of a worker has begun."""
    counting.process('a')
    leader = counting.leaders['a']
    create = leader._create_scheduler

    def create_failing(term):
        scheduler = create(term)

        def fail():
            raise RuntimeError('recovery failed')

        scheduler.fleet.record_unreached = fail
        return scheduler

    leader._create_scheduler = create_failing
    await counting.wait(0.5)
    assert counting.log.named('term_failed')
    assert counting.opened == {'w0': 1, 'w1': 1}
    assert counting.closed() == counting.opened


async def test_a_replaced_client_is_closed(counting):
    """Guards against a connection to the former address of a worker that stays open
    after the term."""
    process = await start_leader(counting)
    counting.add_address('moved')
    counting.change_worker('w0', address='moved')
    await counting.wait(2)
    await counting.kill(process)
    assert counting.opened == {'w0': 1, 'w1': 1, 'moved': 1}
    assert counting.closed() == counting.opened


async def test_the_client_of_a_worker_that_left_is_closed_once(counting):
    """Guards against connections to workers that have left, and against a second close
    at the end of the term."""
    process = await start_leader(counting)
    counting.store.remove('workers/w0')
    await counting.wait(2)
    assert counting.closed() == {'w0': 1, 'w1': 0}
    await counting.kill(process)
    assert counting.closed() == counting.opened


async def test_a_worker_that_is_listed_while_its_client_is_closed_is_reached(counting):
    """Guards against a worker that gets no work because it was listed again while the
    client of its former session was being closed."""
    await start_leader(counting)

    async def list_again():
        counting.change_worker('w0')
        await counting.clock.sleep(timedelta(milliseconds=100))

    counting.runners['w0'].on_close = list_again
    counting.store.remove('workers/w0')
    await counting.wait(3)
    assert counting.closed() == {'w0': 1, 'w1': 0}
    assert set(counting.leaders['a'].scheduler.fleet.workers) == {'w0', 'w1'}
