"""Tests of changes in several parts, where a later part replaces earlier items."""

import pytest

from chiveworks import membership as m
from chiveworks.base import ManualClock
from chiveworks.membership._paging import split_push
from chiveworks.membership.tests.fakes import FakeNetwork, FakeStore, Process

NAMES = ('e1', 'e2')


@pytest.fixture
def pair():
    """A store with two processes that have not read it."""
    store, net = FakeStore(ManualClock()), FakeNetwork()
    return store, [Process(name, NAMES, store, net) for name in NAMES]


async def change_twice(store, process):
    """Writes a key, a second key and the first again; reads them in `process`."""
    await process.source.read()
    for key in ('twice', 'once', 'twice'):
        store.put(key)
    return (await process.source.read()).unwrap()


def assert_has_changes_up_to_revision(process, store):
    for key, change in store.latest(process.sync.revision).items():
        assert process.replica.held[key].mod_revision >= change.mod_revision


async def test_the_first_part_of_a_push_has_no_gap(pair):
    """A receiver of the first part must not advance beyond a change that it lacks
    because a later part replaces it."""
    store, (reader, other) = pair
    push = await change_twice(store, reader)
    for part in split_push(push, limit_bytes=1):
        other.exchange.accept_push(part)
        assert_has_changes_up_to_revision(other, store)
    assert other.sync.revision == store.revision


async def test_the_first_page_of_an_exchange_keeps_the_revision(pair, monkeypatch):
    """The same holds after only the first page of a peer's changes."""
    monkeypatch.setattr('chiveworks.membership._peer_exchange.PAGE_BYTES', 1)
    store, (reader, other) = pair
    await change_twice(store, reader)
    request = m.ExchangeRequest(other.exchange.status())
    other.exchange._apply_page(request, reader.exchange.answer_exchange(request))
    assert_has_changes_up_to_revision(other, store)
    await other.exchange.exchange_with('e1')
    assert_has_changes_up_to_revision(other, store)
    assert other.sync.revision == store.revision
