"""Tests that fast processes lead, and that a busy leader keeps its lease."""

import asyncio
import time
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest
from result import Ok

from chiveworks.base import Epoch, StoreLeaseId, SystemClock
from chiveworks.dispatch.tests.deployment import RecordingLog
from chiveworks.metastore import LastWriter, LeaseThread, Term
from chiveworks.metastore._candidacy import LEADER_TTL
from chiveworks.metastore._term import PROGRESS_LIMIT
from chiveworks.metastore.tests.test_term import Cluster

TTL = timedelta(milliseconds=400)


@pytest.fixture
async def cluster():
    created = Cluster()
    created.log = RecordingLog(created.clock)
    yield created
    for task in created.tasks:
        task.cancel()
    await asyncio.gather(*created.tasks, return_exceptions=True)


async def pass_time(cluster, seconds):
    for _ in range(round(seconds / 0.01)):
        await cluster.clock.advance(timedelta(milliseconds=10))


async def lead_until_lost(election, clock):
    while True:
        term = await election.campaign()
        watch = asyncio.create_task(election.watch_term(term))
        renewal = asyncio.create_task(term.renew_until_lost())
        try:
            while not term.lost.is_set():
                term.note_progress()
                await clock.sleep(timedelta(milliseconds=50))
        finally:
            watch.cancel()
            renewal.cancel()


def start(cluster, name, cores):
    election = cluster.election(name, cores)
    cluster.run(election.challenge_slower_leaders())
    return cluster.run(lead_until_lost(election, cluster.clock))


def leaders(cluster):
    return [line['process'] for line in cluster.log.named('leadership_gained')]


async def test_a_fast_process_follows_a_lost_leader(cluster):
    """Guards against a slow process that leads because it noticed the vacancy first:
    it restores the state more slowly and falls behind while work waits."""
    first = start(cluster, 'fast0', 2)
    await pass_time(cluster, 1)
    start(cluster, 'fast1', 2)
    for number in range(20):
        start(cluster, f'slow{number}', 0.3)
    await pass_time(cluster, 1)
    first.cancel()
    await pass_time(cluster, 4)
    assert leaders(cluster) == ['fast0', 'fast1']


async def test_a_slow_leader_makes_way_for_a_fast_process(cluster):
    """Guards against a slow leader that stays although a fast process is there."""
    start(cluster, 'slow', 0.3)
    await pass_time(cluster, 1)
    start(cluster, 'fast', 2)
    await pass_time(cluster, 5)
    assert leaders(cluster) == ['slow', 'fast']


async def test_processes_of_one_speed_do_not_replace_each_other(cluster):
    """Guards against changes of the leader that gain nothing."""
    for number in range(4):
        start(cluster, f'p{number}', 0.4)
    await pass_time(cluster, 10)
    assert len(leaders(cluster)) == 1


async def test_slow_processes_lead_if_the_fast_ones_are_gone(cluster):
    """Guards against a deployment without a leader."""
    first = start(cluster, 'fast', 2)
    await pass_time(cluster, 1)
    start(cluster, 'slow', 0.3)
    await pass_time(cluster, 1)
    first.cancel()
    await pass_time(cluster, 3)
    assert leaders(cluster) == ['fast', 'slow']


async def test_a_lease_ends_if_the_process_makes_no_progress(cluster):
    """Guards against a process that no longer schedules and keeps others from it."""
    election = cluster.election('a')
    campaign = cluster.run(election.campaign())
    await pass_time(cluster, 0.5)
    term = campaign.result()
    cluster.run(term.renew_until_lost())
    await pass_time(cluster, PROGRESS_LIMIT.total_seconds())
    assert term.valid
    await pass_time(cluster, LEADER_TTL.total_seconds() + 0.1)
    assert not term.valid


class RenewingStore:
    """Renews every lease and counts the renewals."""

    def __init__(self):
        self.renewals = 0

    async def renew_lease(self, _lease):
        self.renewals += 1
        return Ok(value=True)

    async def revoke_lease(self, _lease):
        return Ok(None)


async def test_a_busy_leader_keeps_its_lease():
    """Guards against a term that ends under its own work: the renewal waited behind the
    restoration of the state, and the next leader had more to restore."""
    clock, store = SystemClock(), RenewingStore()
    term = Term(
        store,
        clock,
        RecordingLog(clock),
        'a',
        Epoch(2),
        LastWriter(Epoch(1), clock.monotonic()),
        StoreLeaseId(1),
        TTL,
        clock.monotonic(),
    )

    @asynccontextmanager
    async def open_store():
        yield store

    renewal = asyncio.create_task(LeaseThread(open_store).renew(term))
    for _ in range(3):
        # The event loop is late by more than the lease lasts.
        await asyncio.sleep(0)
        time.sleep(2 * TTL.total_seconds())
        assert term.valid
    assert store.renewals > 3
    term.end('the test is over')
    await asyncio.wait_for(renewal, 2)
