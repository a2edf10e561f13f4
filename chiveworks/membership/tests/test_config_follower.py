"""Tests of `ConfigFollower` on a manual clock."""

import asyncio
from datetime import timedelta

import pytest

from chiveworks.base import ManualClock, Revision
from chiveworks.catalogue import ConfigItem
from chiveworks.membership import ConfigPush
from chiveworks.membership._paging import split_push
from chiveworks.membership.tests.fakes import FakeNetwork, FakeStore, Process

NAMES = ('e1', 'e2')


class ZoneCluster:
    """Entry processes of one zone with their store and tasks."""

    def __init__(self, tasks):
        self.clock = ManualClock()
        self.store = FakeStore(self.clock)
        self.net = FakeNetwork()
        self.tasks = tasks

    def start(self, name, is_watcher=False, names=NAMES):
        process = Process(name, names, self.store, self.net, self.clock, is_watcher)
        self.tasks.create_task(process.follower.run())
        return process

    async def advance(self, seconds):
        await self.clock.advance(timedelta(seconds=seconds))


@pytest.fixture
async def cluster():
    async with asyncio.TaskGroup() as tasks:
        cluster = ZoneCluster(tasks)
        yield cluster
        for task in tuple(tasks._tasks):
            task.cancel()


async def test_change_is_pushed_at_once(cluster):
    """Promise 10: a change must not wait for the next exchange of a peer."""
    watcher, peer = cluster.start('e1', is_watcher=True), cluster.start('e2')
    await cluster.advance(3)
    cluster.store.put('a')
    cluster.net.cut = {'e1'}
    await cluster.advance(0.3)
    assert watcher.replica.live() == peer.replica.live() == cluster.store.live()


async def test_change_takes_effect_within_three_seconds_without_a_watcher(cluster):
    """Promise 10: the loss of the watcher must not delay a change beyond 3 s."""
    watcher, peer = cluster.start('e1', is_watcher=True), cluster.start('e2')
    await cluster.advance(5)
    watcher.is_watcher = False
    cluster.net.cut = {'e1'}
    cluster.store.put('a')
    await cluster.advance(3)
    assert peer.replica.live() == cluster.store.live()


async def test_silent_watch_is_replaced(cluster):
    """A watch on a dead connection must not hide changes forever."""
    watcher = cluster.start('e1', is_watcher=True)
    await cluster.advance(1)
    cluster.store.silent_watches = 1
    await cluster.advance(2)
    cluster.store.put('a')
    await cluster.advance(2.6)
    assert cluster.store.silent_watches == 0
    assert watcher.replica.live() == cluster.store.live()


async def test_compacted_watch_lists_and_keeps_tombstones(cluster):
    """A key that was deleted during an outage must not remain in the replica."""
    cluster.store.put('a')
    cluster.store.put('b')
    watcher = cluster.start('e1', is_watcher=True)
    await cluster.advance(1)
    cluster.store.is_down = True
    await cluster.advance(2)
    cluster.store.put('a', deleted=True)
    cluster.store.compacted_to = cluster.store.revision
    cluster.store.is_down = False
    await cluster.advance(4)
    assert watcher.replica.live() == cluster.store.live()
    assert watcher.replica.held['config/a'].deleted


async def test_restart_with_a_lagging_peer_recovers(cluster):
    """A late push must not restore a key that the lagging peer saw deleted."""
    lagging = Process('e2', NAMES, cluster.store, cluster.net, cluster.clock)
    cluster.store.put('a')
    first = (await lagging.source.read()).unwrap()
    cluster.store.put('a', deleted=True)
    await lagging.source.read()
    cluster.store.put('b')
    cluster.store.is_down = True
    restarted = cluster.start('e1')
    await cluster.advance(2)
    assert restarted.follower.is_ready
    assert restarted.sync.revision == 2
    restarted.exchange.accept_push(first)
    assert restarted.replica.live() == {}
    cluster.store.is_down = False
    await cluster.advance(9)
    assert restarted.replica.live() == cluster.store.live()


async def test_not_ready_without_store_and_peers(cluster):
    """With an empty catalogue, every request would be rejected as unknown."""
    cluster.store.is_down = True
    process = cluster.start('e1')
    await cluster.advance(30)
    assert not process.follower.is_ready
    cluster.store.is_down = False
    await cluster.advance(4)
    assert process.follower.is_ready


async def test_peer_reads_the_store_only_without_watcher_progress(cluster):
    """Watches by all processes at once would exhaust the store's read capacity."""
    watcher, peer = cluster.start('e1', is_watcher=True), cluster.start('e2')
    await cluster.advance(5)
    cluster.net.exchanges['e2'].progress.confirm()
    before = len(cluster.store.calls)
    await cluster.advance(30)
    # The watcher alone watches every 1.1 s, 28 times in 30 s; with a second watching
    # process there would be 55 calls.
    assert len(cluster.store.calls) - before <= 30
    watcher.is_watcher = False
    await cluster.advance(6)
    cluster.store.put('a')
    await cluster.advance(0.3)
    assert peer.replica.live() == cluster.store.live()


async def test_attempts_during_an_outage_are_capped_and_spread(cluster):
    """Processes must not all contact a recovering store at the same time."""
    names = [f'p{number}' for number in range(20)]
    for name in names:
        cluster.start(name, is_watcher=True, names=names)
    await cluster.advance(2)
    cluster.store.is_down = True
    await cluster.advance(20)
    cluster.store.calls.clear()
    await cluster.advance(20)
    call_times = [at for _, at in cluster.store.calls]
    assert len(call_times) <= 20 * 20 / 1.2
    busiest = max(
        sum(0 <= (other - at).total_seconds() < 0.25 for other in call_times)
        for at in call_times
    )
    assert busiest <= 12


async def test_item_that_fills_a_gap_during_a_pull_is_not_missed(cluster, monkeypatch):
    """A change below the start of the next page would be missed but count as known."""
    monkeypatch.setattr('chiveworks.membership._peer_exchange.PAGE_BYTES', 1)
    called = Process('e2', NAMES, cluster.store, cluster.net, cluster.clock)
    caller = Process('e1', NAMES, cluster.store, cluster.net, cluster.clock)
    cluster.store.put('a')
    await called.source.read()
    for key in ('b', 'c', 'd'):
        cluster.store.put(key)
    late = tuple(cluster.store.changes[2:])
    called.exchange.accept_push(ConfigPush(late, Revision(2), Revision(4)))
    rounds = iter((False, False, True))

    async def fill_gap():
        if next(rounds, False):
            await called.source.read()

    cluster.net.before_answer = fill_gap
    await caller.exchange.pull_everything('e2')
    held = {item.mod_revision for item in caller.replica.held.values()}
    assert set(range(1, caller.sync.revision + 1)) <= held


async def test_pull_is_abandoned_if_the_peer_restarts(cluster, monkeypatch):
    """The new process may lack the tombstone of a key that the old one listed."""
    monkeypatch.setattr('chiveworks.membership._peer_exchange.PAGE_BYTES', 1)
    called = Process('e2', NAMES, cluster.store, cluster.net, cluster.clock)
    caller = Process('e1', NAMES, cluster.store, cluster.net, cluster.clock)
    cluster.store.put('a')
    cluster.store.put('b')
    await called.source.read()
    rounds = iter((False, True))

    async def restart_before_second_round():
        if next(rounds, False):
            cluster.store.put('a', deleted=True)
            restarted = Process('e2', NAMES, cluster.store, cluster.net, cluster.clock)
            await restarted.source.read()

    cluster.net.before_answer = restart_before_second_round
    assert (await caller.exchange.pull_everything('e2')).is_err()
    cluster.net.before_answer = None
    assert (await caller.exchange.pull_everything('e2')).is_ok()
    assert caller.replica.live() == cluster.store.live()


def test_part_of_a_push_ends_at_its_last_item():
    """If the next part is lost, the receiver must be able to detect the gap."""
    items = tuple(ConfigItem(f'config/{n}', b'', Revision(n)) for n in (4, 5, 8))
    parts = split_push(ConfigPush(items, Revision(3), Revision(9)), limit_bytes=1)
    spans = [(part.after, part.revision, len(part.items)) for part in parts]
    assert spans == [(3, 4, 1), (4, 5, 1), (5, 9, 1)]
