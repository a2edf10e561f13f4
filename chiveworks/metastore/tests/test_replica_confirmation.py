"""Time up to which a replica is certainly complete."""

import asyncio
from datetime import timedelta

import pytest

from chiveworks.base import ManualClock
from chiveworks.dispatch.tests.deployment import RecordingLog
from chiveworks.metastore import Replica
from standins.metadata import MemoryMetadataStore

SECOND = timedelta(seconds=1)


class SlowListingStore(MemoryMetadataStore):
    """Store that takes a second to answer a listing."""

    async def read_all(self, prefix):
        result = await super().read_all(prefix)
        await self._clock.sleep(SECOND)
        return result


class FollowedStore:
    """A replica and the store that it follows."""

    def __init__(self):
        self.clock = ManualClock()
        self.clock.shift(5 * SECOND)
        self.store = SlowListingStore(self.clock)
        log = RecordingLog(self.clock)
        self.replica = Replica(
            self.store, 'p/', lambda _name, entry: entry, self.clock, log
        )

    async def step(self, seconds):
        call = asyncio.create_task(self.replica.step())
        await self.clock.advance(seconds * SECOND)
        return call.result()


@pytest.fixture
def followed():
    return FollowedStore()


async def test_a_listing_confirms_what_was_stored_when_it_was_sent(followed):
    """Guards against a change that is stored while an answer is under way, and that the
    replica counts as known."""
    assert followed.replica.confirmed_at is None
    assert await followed.step(1)
    assert followed.replica.last_success_at == 6 * SECOND
    assert followed.replica.confirmed_at == 5 * SECOND


async def test_a_watch_confirms_what_was_stored_when_it_was_sent(followed):
    """Guards against a watch that confirms the whole time for which it waited."""
    await followed.step(1)
    assert await followed.step(1.5)
    assert followed.replica.last_success_at == 7.5 * SECOND
    assert followed.replica.confirmed_at == 6 * SECOND


async def test_a_failed_call_confirms_nothing(followed):
    """Guards against a process that is cut off and counts its knowledge as current."""
    await followed.step(1)
    followed.store.faults.refuse = True
    assert not await followed.step(1)
    assert followed.replica.confirmed_at == 5 * SECOND


async def test_a_compacted_history_confirms_nothing(followed):
    """Guards against changes that a watch has left out, and that count as known."""
    await followed.step(1)
    followed.store.faults.compact = True
    assert await followed.step(0)
    assert followed.replica.confirmed_at == 5 * SECOND
    assert await followed.step(1)
    assert followed.replica.confirmed_at == 6 * SECOND


async def test_an_entry_that_was_not_applied_is_not_confirmed(followed):
    """Guards against a revocation that counts as known although its application has
    failed."""
    errors = [RuntimeError('x'), RuntimeError('x')]

    def apply(_name, _entry):
        if errors:
            raise errors.pop()

    followed.replica.subscribe(apply)
    followed.store.put('p/a', b'')
    await followed.step(1)
    assert followed.replica.confirmed_at is None
    followed.store.put('p/b', b'')
    assert await followed.step(0)
    assert followed.replica.confirmed_at is None
    assert await followed.step(1.5)
    assert followed.replica.confirmed_at == 6 * SECOND
