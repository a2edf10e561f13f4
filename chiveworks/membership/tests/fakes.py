"""In-memory fakes of the store, the replica and the network between peers."""

from datetime import timedelta
from random import Random

from result import Err, Ok

from chiveworks import membership as m
from chiveworks.base import EntryId, Failure, ManualClock, RackName, Revision, Step
from chiveworks.catalogue import ConfigItem
from chiveworks.instances import Instance, InstanceRole, InstanceState
from chiveworks.membership import _wire_exchange as wire
from chiveworks.membership.tests.support import ZONE
from chiveworks.store import StoreEntry, StoreRead, WatchBatch, WatchEvent


class FakeStore:
    """Keeps every change of `config/`; can be down, unresponsive or compacted."""

    def __init__(self, clock):
        self.clock = clock
        self.changes = []
        self.compacted_to = 0
        self.revision = Revision(0)
        self.is_down = False
        self.silent_watches = 0
        self.calls = []
        self.polls_per_watch = 15

    def put(self, key, deleted=False):
        if deleted and f'config/{key}' not in self.live():
            # The store deletes by compare-and-swap, so deleting an absent key
            # changes nothing.
            return
        self.revision = Revision(self.revision + 1)
        value = b'' if deleted else b'%d' % self.revision
        change = ConfigItem(f'config/{key}', value, self.revision, deleted)
        self.changes.append(change)

    def put_outside_config(self):
        """Writes a key outside `config/`, such as a journal entry."""
        self.revision = Revision(self.revision + 1)

    def latest(self, revision=None):
        limit = self.revision if revision is None else revision
        return {c.key: c for c in self.changes if c.mod_revision <= limit}

    def live(self):
        return {key: c.value for key, c in self.latest().items() if not c.deleted}

    async def list_prefix(self, prefix):
        self.calls.append(('list', self.clock.monotonic()))
        if self.is_down:
            return Err(Failure.not_run(Step.CONNECT, 'store', 'down'))
        live = [c for c in self.latest().values() if not c.deleted]
        entries = (
            StoreEntry(c.key, c.value, c.mod_revision, c.mod_revision) for c in live
        )
        return Ok(StoreRead(self.revision, tuple(entries)))

    async def watch(self, prefix, after, wait):
        self.calls.append(('watch', self.clock.monotonic()))
        if self.is_down:
            return Err(Failure.not_run(Step.CONNECT, 'store', 'down'))
        if self.silent_watches:
            self.silent_watches -= 1
            await self.clock.sleep(timedelta(days=1))
        for _ in range(self.polls_per_watch):
            if self.is_watch_ready(after):
                break
            await self.clock.sleep(wait / self.polls_per_watch)
        return Ok(self.batch(after))

    def is_watch_ready(self, after):
        return after < self.compacted_to or bool(self._events(after))

    def batch(self, after):
        if after < self.compacted_to:
            return WatchBatch(self.revision, (), compacted=True)
        return WatchBatch(self.revision, self._events(after))

    def _events(self, after):
        return tuple(
            WatchEvent(c.key, c.value, c.mod_revision, c.deleted)
            for c in self.changes
            if c.mod_revision > after
        )


class FakeReplica:
    """Minimal implementation of `ConfigReplica`."""

    def __init__(self):
        self.revision = Revision(0)
        self.held = {}

    def apply(self, items, revision):
        newer = []
        for item in items:
            held = self.held.get(item.key)
            if held is None or held.mod_revision < item.mod_revision:
                self.held[item.key] = item
                newer.append(item)
        self.revision = max(self.revision, revision)
        return tuple(newer)

    def items_after(self, revision):
        return [e for e in self.held.values() if e.mod_revision > revision]

    def live(self):
        return {e.key: e.value for e in self.held.values() if not e.deleted}


class FakeNetwork:
    """Connects processes by name; messages are converted to protobuf and back."""

    def __init__(self):
        self.exchanges = {}
        self.cut = set()
        self.before_answer = None

    def failing_addresses(self):
        return frozenset()

    async def exchange(self, address, request):
        if self.before_answer:
            await self.before_answer()
        if address in self.cut or address not in self.exchanges:
            return Err(Failure.not_run(Step.CONNECT, address, 'unreachable'))
        sent = wire.request_from_wire(wire.request_to_wire(request))
        reply = self.exchanges[address].answer_exchange(sent)
        return Ok(wire.reply_from_wire(wire.reply_to_wire(reply)))

    async def push(self, address, push):
        if address in self.cut or address not in self.exchanges:
            return Err(Failure.not_run(Step.CONNECT, address, 'unreachable'))
        sent = wire.push_from_wire(wire.push_to_wire(push))
        self.exchanges[address].accept_push(sent)
        return Ok(None)


class Process:
    """The parts of an entry process that propagate the configuration."""

    def __init__(self, name, names, store, net, clock=None, is_watcher=False):
        clock = clock or ManualClock()
        own = m.Peer(EntryId(name), ZONE, name)
        directory = m.PeerDirectory(own)
        directory.update(map(_instance, names))
        self.name = name
        self.is_watcher = is_watcher
        self.replica = FakeReplica()
        self.sync = m.ConfigSync(self.replica)
        self.owners = m.OwnerTable()
        self.exchange = m.PeerExchange(
            own, self.sync, directory, self.owners, net, clock
        )
        self.source = m.ConfigSource(store, self.sync, clock)
        self.follower = m.ConfigFollower(
            self.exchange, self.source, lambda: self.is_watcher, clock, Random(name)
        )
        net.exchanges[name] = self.exchange


def _instance(name):
    return Instance(
        instance_id=name,
        role=InstanceRole.ENTRY,
        zone=ZONE,
        rack=RackName(''),
        state=InstanceState.LIVE,
        peer_address=name,
    )
