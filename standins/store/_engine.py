"""In-memory key-value store with revisions, leases and watches."""

import asyncio
from collections import Counter, deque
from collections.abc import Iterable
from contextlib import suppress
from datetime import timedelta
from itertools import islice

from result import Err, Ok, Result

from chiveworks.base import Clock, Revision, StoreLeaseId
from chiveworks.store import (
    StoreConflict,
    StoreEntry,
    StoreRead,
    WatchBatch,
    WatchEvent,
)
from standins.store._lease import Lease
from standins.store._rejection import Rejection

VALUE_LIMIT_BYTES = 1_000_000


class StoreEngine:
    """State of the store. Every call first removes expired leases.

    Args:
        clock: Clock for leases and watches.
        history_limit: Number of changes that are kept for watches.

    Attributes:
        calls: Number of calls by kind.
    """

    def __init__(self, clock: Clock, history_limit: int = 10_000) -> None:
        self._clock = clock
        self._history_limit = history_limit
        self._entries: dict[str, StoreEntry] = {}
        self._leases: dict[StoreLeaseId, Lease] = {}
        self._lease_by_key: dict[str, StoreLeaseId] = {}
        self._history: deque[WatchEvent] = deque()
        self._revision = Revision(0)
        self._compacted = Revision(0)
        self._last_lease = 0
        self._changed = asyncio.Event()
        self.calls: Counter[str] = Counter()

    def fetch(self, key: str) -> StoreRead:
        """Reads one key."""
        self._start_call('read')
        return self._read((key,))

    def list_prefix(self, prefix: str) -> StoreRead:
        """Reads all keys with a prefix, ordered by key."""
        self._start_call('range')
        return self._read(
            sorted(key for key in self._entries if key.startswith(prefix))
        )

    def put(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        lease: StoreLeaseId | None = None,
    ) -> Result[Revision, StoreConflict | Rejection]:
        """Writes a key by compare-and-swap."""
        self._start_call('write')
        if len(value) > VALUE_LIMIT_BYTES:
            return Err(Rejection.TOO_LARGE)
        if lease is not None and lease not in self._leases:
            return Err(Rejection.UNKNOWN_LEASE)
        found = self._mod_revision(key)
        if found != expected:
            return Err(StoreConflict(key, expected, found))
        self._detach(key)
        if lease is not None:
            self._leases[lease].keys.add(key)
            self._lease_by_key[key] = lease
        return Ok(self._write(key, value))

    def delete(self, key: str, expected: Revision) -> Result[Revision, StoreConflict]:
        """Deletes a key by compare-and-swap."""
        self._start_call('delete')
        found = self._mod_revision(key)
        if found != expected:
            return Err(StoreConflict(key, expected, found))
        if found:
            self._remove(key)
        return Ok(self._revision)

    def grant_lease(self, ttl: timedelta) -> StoreLeaseId:
        """Creates a lease."""
        self._start_call('lease')
        self._last_lease += 1
        lease = StoreLeaseId(self._last_lease)
        self._leases[lease] = Lease(ttl, self._clock.monotonic() + ttl)
        # Wakes the watchers so that they also wait for the expiry of this lease.
        self._notify()
        return lease

    def renew_lease(self, lease: StoreLeaseId) -> bool:
        """Extends a lease; False when it does not exist."""
        self._start_call('lease')
        if lease not in self._leases:
            return False
        found = self._leases[lease]
        found.expires_at = self._clock.monotonic() + found.ttl
        return True

    def revoke_lease(self, lease: StoreLeaseId) -> bool:
        """Removes a lease and its keys; False when it does not exist."""
        self._start_call('lease')
        return self._drop_lease(lease)

    async def watch(self, prefix: str, after: Revision, wait: timedelta) -> WatchBatch:
        """Waits up to `wait` for changes under `prefix` later than `after`."""
        self._start_call('watch')
        end = self._clock.monotonic() + wait
        while True:
            batch = self._events_after(prefix, after)
            left = end - self._clock.monotonic()
            if batch.events or batch.compacted or left <= timedelta(0):
                return batch
            await self._wait_for_change(left)
            self._expire()

    def _start_call(self, kind: str) -> None:
        self.calls[kind] += 1
        self._expire()

    def _expire(self) -> None:
        now = self._clock.monotonic()
        due = [name for name, lease in self._leases.items() if lease.expires_at <= now]
        for lease in due:
            self._drop_lease(lease)

    def _drop_lease(self, lease: StoreLeaseId) -> bool:
        found = self._leases.pop(lease, None)
        for key in sorted(found.keys) if found else ():
            self._remove(key)
        return found is not None

    def _detach(self, key: str) -> None:
        lease = self._lease_by_key.pop(key, None)
        if lease in self._leases:
            self._leases[lease].keys.discard(key)

    def _mod_revision(self, key: str) -> Revision:
        entry = self._entries.get(key)
        return entry.mod_revision if entry else Revision(0)

    def _read(self, keys: Iterable[str]) -> StoreRead:
        found = tuple(self._entries[key] for key in keys if key in self._entries)
        return StoreRead(self._revision, found)

    def _write(self, key: str, value: bytes) -> Revision:
        former = self._entries.get(key)
        revision = Revision(self._revision + 1)
        created = former.create_revision if former else revision
        self._entries[key] = StoreEntry(key, value, revision, created)
        self._record(WatchEvent(key, value, revision, deleted=False))
        return revision

    def _remove(self, key: str) -> None:
        self._detach(key)
        self._entries.pop(key)
        revision = Revision(self._revision + 1)
        self._record(WatchEvent(key, b'', revision, deleted=True))

    def _record(self, event: WatchEvent) -> None:
        self._revision = event.mod_revision
        self._history.append(event)
        if len(self._history) > self._history_limit:
            self._compacted = self._history.popleft().mod_revision
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _events_after(self, prefix: str, after: Revision) -> WatchBatch:
        if after < self._compacted:
            return WatchBatch(self._revision, (), compacted=True)
        # Revisions are consecutive, so their difference is the number of newer events.
        count = max(self._revision - after, 0)
        recent = islice(reversed(self._history), count)
        events = [event for event in recent if event.key.startswith(prefix)]
        return WatchBatch(self._revision, tuple(reversed(events)))

    async def _wait_for_change(self, limit: timedelta) -> None:
        now = self._clock.monotonic()
        expiries = (lease.expires_at - now for lease in self._leases.values())
        delay = min((limit, *expiries))
        sleeper = asyncio.ensure_future(self._clock.sleep(delay))
        change = asyncio.ensure_future(self._changed.wait())
        try:
            await asyncio.wait((sleeper, change), return_when=asyncio.FIRST_COMPLETED)
        finally:
            for waiter in (sleeper, change):
                waiter.cancel()
            with suppress(asyncio.CancelledError):
                await asyncio.gather(sleeper, change, return_exceptions=True)
