"""Stateful test of replicas under pushes, exchanges, watches and restarts."""

import asyncio
from typing import Any
from unittest import mock

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from chiveworks import membership as m
from chiveworks.base import ManualClock
from chiveworks.membership import _peer_exchange
from chiveworks.membership._config_source import _item_of_event
from chiveworks.membership._paging import split_push
from chiveworks.membership.tests.fakes import FakeNetwork, FakeStore, Process

NAMES = ('e1', 'e2', 'e3')
KEYS = st.sampled_from(['a', 'b', 'c'])
PEERS = st.permutations(NAMES).map(lambda names: names[:2])
ACTIONS = st.lists(st.sampled_from(['put', 'delete', 'watch', 'deliver']), max_size=4)


class ConfigMachine(RuleBasedStateMachine):
    """Compares all replicas with the store's full history after each step."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.run_async = self.loop.run_until_complete
        self.store = FakeStore(ManualClock())
        self.net = FakeNetwork()
        self.processes = {name: self._new_process(name) for name in NAMES}
        self.in_transit = []
        self.last_state: dict[str, Any] = {name: (0, {}) for name in NAMES}

    def _new_process(self, name):
        return Process(name, NAMES, self.store, self.net)

    @rule(changes=st.lists(st.tuples(KEYS, st.booleans()), min_size=1, max_size=3))
    def change(self, changes):
        for key, deleted in changes:
            self.store.put(key, deleted)

    @rule()
    def write_journal(self):
        self.store.put_outside_config()

    @rule()
    def compact(self):
        self.store.compacted_to = self.store.revision

    @rule(name=st.sampled_from(NAMES))
    def read_store(self, name):
        """Reads the store like a watcher; the resulting pushes are delivered later."""
        self.run_async(self._read_store(self.processes[name]))

    async def _read_store(self, process):
        after = process.sync.revision
        if process.sync.has_full_listing and not self.store.is_watch_ready(after):
            return
        push = (await process.source.read()).unwrap()
        self.in_transit += [('push', part) for part in split_push(push, 1)]

    @rule(name=st.sampled_from(NAMES))
    def watch_answer_is_delayed(self, name):
        process = self.processes[name]
        after = process.sync.revision
        batch = self.store.batch(after)
        if process.sync.has_full_listing and not batch.compacted:
            items = tuple(map(_item_of_event, batch.events))
            self.in_transit.append(('watch', (process, items, after, batch.revision)))

    @rule(peers=PEERS)
    def exchange(self, peers):
        caller, called = peers
        self.run_async(self.processes[caller].exchange.exchange_with(called))

    @rule(peers=PEERS)
    def exchange_answer_is_delayed(self, peers):
        caller, called = (self.processes[name].exchange for name in peers)
        request = m.ExchangeRequest(caller.status())
        reply = called.answer_exchange(request)
        self.in_transit.append(('reply', (caller, request, reply)))

    @precondition(lambda self: self.in_transit)
    @rule(data=st.data())
    def deliver(self, data):
        """Delivers a delayed message and keeps it, so that it may be repeated."""
        recent = data.draw(st.integers(1, min(len(self.in_transit), 6)))
        self._deliver(len(self.in_transit) - recent, data)

    def _deliver(self, position, data):
        kind, message = self.in_transit[position]
        if kind == 'push':
            name = data.draw(st.sampled_from(NAMES))
            self.processes[name].exchange.accept_push(message)
        elif kind == 'watch':
            process, items, after, revision = message
            process.sync.apply_changes(items, after, revision)
        else:
            caller, request, reply = message
            caller._apply_page(request, reply)

    @rule(peers=PEERS, actions=ACTIONS, key=KEYS, data=st.data())
    def pull_while_peer_changes(self, peers, actions, key, data):
        caller, called = peers
        pending = list(actions)

        async def peer_action():
            action = pending.pop(0) if pending else ''
            if action in {'put', 'delete'}:
                self.store.put(key, action == 'delete')
            elif action == 'watch':
                await self._read_store(self.processes[called])
            elif action and self.in_transit:
                self._deliver(len(self.in_transit) - 1, data)

        with mock.patch.object(self.net, 'before_answer', peer_action):
            self.run_async(self.processes[caller].exchange.pull_everything(called))

    @rule(name=st.sampled_from(NAMES), store_is_up=st.booleans())
    def restart(self, name, store_is_up):
        """A new process reads the store, or pulls from its peers if the store is down."""
        self.processes[name] = self._new_process(name)
        self.last_state[name] = (0, {})
        self.store.is_down = not store_is_up
        follower = self.processes[name].follower
        if not self.run_async(follower._read_store()):
            self.run_async(follower._pull_from_peers())
        self.store.is_down = False

    @invariant()
    def nothing_reverts(self):
        for name, process in self.processes.items():
            revision, held = self.last_state[name]
            assert process.sync.revision >= revision
            for key, item in held.items():
                assert process.replica.held[key].mod_revision >= item.mod_revision
            self.last_state[name] = (process.sync.revision, dict(process.replica.held))

    @invariant()
    def replicas_hold_only_what_the_store_held(self):
        history = {(c.key, c.mod_revision): c for c in self.store.changes}
        for process in self.processes.values():
            for item in process.replica.held.values():
                if not item.deleted:
                    assert history[item.key, item.mod_revision] == item
                assert item.mod_revision <= process.sync.last_change

    @invariant()
    def revision_means_that_all_changes_are_known(self):
        for process in self.processes.values():
            known = self.store.latest(process.sync.revision)
            held = process.replica.held
            for key, change in known.items():
                if not change.deleted or key in held:
                    assert held[key].mod_revision >= change.mod_revision
            for key, item in held.items():
                newest = known.get(key, item)
                assert item.deleted or item.mod_revision >= newest.mod_revision

    def teardown(self):
        try:
            self._converge()
        finally:
            self.loop.close()

    def _converge(self):
        self.store.put('healed')
        first, *others = self.processes.values()
        self.run_async(first.source.read())
        for process in others:
            self.run_async(process.exchange.exchange_with(first.name))
            if process.sync.revision < first.sync.floor:
                self.run_async(process.exchange.pull_everything(first.name))
        for process in self.processes.values():
            assert process.replica.live() == self.store.live()
            assert process.sync.revision == self.store.revision


class SmallPagesMachine(ConfigMachine):
    """`ConfigMachine` with one item per message, so that pulls take several rounds."""

    def __init__(self):
        super().__init__()
        self.patch = mock.patch.object(_peer_exchange, 'PAGE_BYTES', 1)
        self.patch.start()

    def teardown(self):
        try:
            super().teardown()
        finally:
            self.patch.stop()


TestConfig = ConfigMachine.TestCase
TestConfig.settings = settings(
    derandomize=True,
    max_examples=250,
    stateful_step_count=40,
    deadline=None,
    # Shrinking takes longer than the time limit of a test; run it manually.
    phases=(Phase.explicit, Phase.generate),
)
TestSmallPages = SmallPagesMachine.TestCase
TestSmallPages.settings = TestConfig.settings
