"""Guards against configuration that reverts when items arrive out of order."""

import asyncio
from datetime import datetime, timezone

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chiveworks.base import EntryName, Revision, ServiceClass, TenantName
from chiveworks.catalogue import (
    CatalogueEntry,
    CatalogueReplica,
    ConfigItem,
    StoredValue,
    entry_key,
)

NAMES = tuple(map(EntryName, 'abc'))
A, _, C = NAMES
AT = datetime(2026, 1, 1, tzinfo=timezone.utc)


def make_item(name, revision, exists=True):
    """Returns an item whose retry limit is the revision that wrote it."""
    entry = CatalogueEntry(
        name=name,
        owner='o',
        tenant=TenantName('t'),
        service_class=ServiceClass.BATCH,
        retry_limit=revision,
    )
    stored = StoredValue[CatalogueEntry](
        nonce='n', author='x', at=AT, document=entry if exists else None
    )
    return ConfigItem(entry_key(name), stored.model_dump_json().encode(), revision)


def is_present(item):
    if item.deleted:
        return False
    stored = StoredValue[CatalogueEntry].model_validate_json(item.value)
    return stored.document is not None


class ReplicaMachine(RuleBasedStateMachine):
    """Three replicas fed from one history, against its latest item per key."""

    def __init__(self):
        super().__init__()
        self.history: list[ConfigItem] = []
        self.replicas = [CatalogueReplica() for _ in range(3)]
        self.best: list[dict[str, ConfigItem]] = [{} for _ in range(3)]

    @rule(name=st.sampled_from(NAMES), kind=st.sampled_from(['put', 'unset', 'gone']))
    def write(self, name, kind):
        revision = len(self.history) + 1
        written = make_item(name, revision, exists=kind == 'put')
        if kind == 'gone':
            written = ConfigItem(written.key, b'', written.mod_revision, deleted=True)
        self.history.append(written)

    @rule(who=st.integers(0, 2), picks=st.lists(st.integers(0, 50), max_size=8))
    def deliver_any(self, who, picks):
        chosen = [self.history[pick] for pick in picks if pick < len(self.history)]
        replica = self.replicas[who]
        replica.apply(chosen, replica.revision)
        self._learn(who, chosen)

    @rule(who=st.integers(0, 2), after=st.integers(0, 50), size=st.integers(0, 9))
    def push(self, who, after, size):
        batch = self.history[after : after + size]
        revision = max((one.mod_revision for one in batch), default=0)
        self.replicas[who].apply(reversed(batch), revision, after=after)
        self._learn(who, batch)

    @rule(who=st.integers(0, 2), other=st.integers(0, 2))
    def pull(self, who, other):
        source = self.replicas[other]
        pulled = source.items_after(self.replicas[who].revision)
        self.replicas[who].apply(pulled, source.revision)
        self._learn(who, pulled)

    @rule(who=st.integers(0, 2), upto=st.integers(0, 50))
    def list_store(self, who, upto):
        past = self.history[:upto]
        latest = {one.key: one for one in past}
        listed = [one for one in latest.values() if not one.deleted]
        self.replicas[who].apply_listing(listed, len(past))
        self._learn(who, past)

    @invariant()
    def agrees_with_the_latest_item_seen(self):
        for replica, best in zip(self.replicas, self.best, strict=True):
            wanted = {
                key: one.mod_revision for key, one in best.items() if is_present(one)
            }
            found = {entry_key(one.name): one.retry_limit for one in replica.entries()}
            assert found == wanted

    def _learn(self, who, seen):
        for one in seen:
            held = self.best[who].get(one.key)
            if held is None or held.mod_revision < one.mod_revision:
                self.best[who][one.key] = one


ReplicaMachine.TestCase.settings = settings(
    derandomize=True, max_examples=150, deadline=None
)
TestReplica = ReplicaMachine.TestCase


def test_revision_stays_when_a_push_was_missed():
    """Guards against a missed change that is never requested again."""
    replica = CatalogueReplica()
    replica.apply([make_item(A, Revision(1))], Revision(1))
    replica.apply([make_item(C, Revision(3))], Revision(3), after=Revision(2))
    assert replica.revision == 1
    assert replica.entry(C) is not None


def test_stale_peer_cannot_bring_back_a_key_missing_from_the_listing():
    """Guards against a deleted entry that returns from a peer with older items."""
    replica = CatalogueReplica()
    replica.apply_listing([], Revision(9))
    assert replica.apply([make_item(A, Revision(5))], Revision(5)) == ()
    assert replica.entry(A) is None


def test_invalid_value_leaves_the_last_valid_entry_in_force():
    """Guards against an invalid value that removes its entry or is not relayed."""
    replica = CatalogueReplica()
    replica.apply([make_item(A, Revision(1))], Revision(1))
    replica.apply([ConfigItem(entry_key(A), b'{', Revision(2))], Revision(2))
    assert [entry.retry_limit for entry in replica.entries()] == [1]
    assert [item.mod_revision for item in replica.items_after(Revision(1))] == [2]


async def test_wait_returns_at_once_after_an_earlier_change():
    """Guards against a change that is missed if it precedes the wait."""
    replica = CatalogueReplica()
    seen = replica.change_count
    waiter = asyncio.ensure_future(replica.wait_for_change())
    await asyncio.sleep(0)
    replica.apply([make_item(A, Revision(1))], Revision(1))
    await waiter
    await replica.wait_for_change(seen)


def test_a_withdrawn_entry_stays_withdrawn_after_several_listings():
    """Guards against a deleted entry that a stale peer brings back: the later listings
    without the entry did not count for it."""
    replica = CatalogueReplica()
    replica.apply([make_item('b', 1)], Revision(1))
    replica.apply_listing([], Revision(3))
    replica.apply_listing([], Revision(9))
    assert not replica.apply([make_item('b', 5)], replica.revision)
    assert replica.entry('b') is None
    replica.apply([make_item('b', 10)], Revision(10))
    assert replica.entry('b') is not None
