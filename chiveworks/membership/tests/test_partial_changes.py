"""Changes that arrive in parts, of which one replaces another."""

import pytest

from chiveworks import membership as m
from chiveworks.base import ManualClock
from chiveworks.membership._paging import split_push
from chiveworks.membership.tests.fakes import FakeNetwork, FakeStore, Process

NAMES = ('e1', 'e2')


@pytest.fixture
def pair():
    """A process that has read an empty store, and one that knows nothing of it."""
    store, net = FakeStore(ManualClock()), FakeNetwork()
    return store, [Process(name, NAMES, store, net) for name in NAMES]


async def change_twice(store, process):
    """Writes a key, another one, and the first one again; the process reads them."""
    await process.source.read()
    for key in ('twice', 'once', 'twice'):
        store.put(key)
    return (await process.source.read()).unwrap()


def assert_claims_hold(process, store):
    for key, change in store.latest(process.sync.revision).items():
        assert process.replica.held[key].mod_revision >= change.mod_revision


async def test_the_first_part_of_a_push_has_no_gap(pair):
    """Guards against a revision that is claimed without a change below it, which a
    later part of the push replaces."""
    store, (reader, other) = pair
    push = await change_twice(store, reader)
    for part in split_push(push, limit_bytes=1):
        other.exchange.accept_push(part)
        assert_claims_hold(other, store)
    assert other.sync.revision == store.revision


async def test_the_first_page_of_an_exchange_raises_no_revision(pair, monkeypatch):
    """Guards against the same claim after one page of a peer's changes."""
    monkeypatch.setattr('chiveworks.membership._peer_exchange.PAGE_BYTES', 1)
    store, (reader, other) = pair
    await change_twice(store, reader)
    request = m.ExchangeRequest(other.exchange.status())
    other.exchange._take_changes(request, reader.exchange.answer_exchange(request))
    assert_claims_hold(other, store)
    await other.exchange.exchange_with('e1')
    assert_claims_hold(other, store)
    assert other.sync.revision == store.revision
