"""In-memory metadata store with transactions, leases, watches and faults."""

from datetime import timedelta
from typing import Final

from result import Err, Ok, Result

from chiveworks.base import Clock, Failure, Revision, Step, StoreLeaseId
from chiveworks.metastore import (
    Committed,
    Conflict,
    Listing,
    StoreItem,
    Transaction,
    WatchBatch,
)
from standins.metadata._faults import MetadataFaults

_PEER: Final = 'metadata stand-in'


class MemoryMetadataStore:
    """Metadata store whose items share one revision counter.

    Args:
        clock: Clock for leases and watches.
    """

    def __init__(self, clock: Clock) -> None:
        self.faults = MetadataFaults()
        self.items: dict[str, StoreItem] = {}
        self._clock = clock
        self._revision = 1
        self._history: list[StoreItem] = []
        self._leases: dict[int, tuple[timedelta, timedelta]] = {}
        self._last_lease = 0
        self._lease_by_key: dict[str, int] = {}
        self._delayed: list[Transaction] = []

    async def read(
        self, key: str, *, stale: bool = False
    ) -> Result[StoreItem, Failure]:
        """Reads one key."""
        if self.faults.refuse:
            return Err(_refused())
        self._expire()
        return Ok(self._item(key))

    async def read_all(self, prefix: str) -> Result[Listing, Failure]:
        """Reads all keys with a prefix."""
        if self.faults.refuse:
            return Err(_refused())
        self._expire()
        found = [item for key, item in self.items.items() if key.startswith(prefix)]
        return Ok(Listing(found, Revision(self._revision)))

    async def watch(
        self, prefix: str, after: Revision, wait: timedelta
    ) -> Result[WatchBatch, Failure]:
        """Waits up to `wait` for changes, checking every 5 ms."""
        deadline = self._clock.monotonic() + wait
        while True:
            if self.faults.refuse:
                return Err(_refused())
            if self.faults.compact:
                self.faults.compact = False
                return Ok(WatchBatch((), after, compacted=True))
            self._expire()
            found = [
                item
                for item in self._history
                if item.revision > after and item.key.startswith(prefix)
            ]
            if found or self._clock.monotonic() >= deadline:
                return Ok(WatchBatch(found, Revision(self._revision)))
            await self._clock.sleep(timedelta(milliseconds=5))

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed | Conflict, Failure]:
        """Applies a transaction."""
        if self.faults.refuse:
            return Err(_refused())
        if self.faults.delay_writes:
            self.faults.delay_writes -= 1
            self._delayed.append(transaction)
            return Err(_no_response())
        if self._lacks_lease(transaction):
            return Err(_refused())
        outcome = self._apply(transaction)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return Err(_no_response())
        return Ok(outcome)

    def apply_delayed(self) -> list[Committed | Conflict]:
        """Applies the delayed transactions; those that conflict have no effect.

        Transactions whose lease has ended are dropped.
        """
        outcomes = [
            self._apply(transaction)
            for transaction in self._delayed
            if not self._lacks_lease(transaction)
        ]
        self._delayed.clear()
        return outcomes

    async def grant_lease(self, ttl: timedelta) -> Result[StoreLeaseId, Failure]:
        """Creates a lease."""
        if self.faults.refuse:
            return Err(_refused())
        self._last_lease += 1
        self._leases[self._last_lease] = (ttl, self._clock.monotonic() + ttl)
        return Ok(StoreLeaseId(self._last_lease))

    async def renew_lease(self, lease: StoreLeaseId) -> Result[bool, Failure]:
        """Renews a lease."""
        if self.faults.refuse:
            return Err(_refused())
        self._expire()
        if lease not in self._leases:
            return Ok(False)
        ttl = self._leases[lease][0]
        self._leases[lease] = (ttl, self._clock.monotonic() + ttl)
        return Ok(True)

    async def revoke_lease(self, lease: StoreLeaseId) -> Result[None, Failure]:
        """Ends a lease."""
        self.revoke(lease)
        return Ok(None)

    def revoke(self, lease: int) -> None:
        """Ends a lease and removes its keys immediately."""
        self._leases.pop(lease, None)
        bound = [key for key, owner in self._lease_by_key.items() if owner == lease]
        for key in bound:
            self._lease_by_key.pop(key)
            self._remove(key)

    def put(self, key: str, content: bytes) -> None:
        """Writes an item unconditionally, as the operator or a worker would."""
        self._revision += 1
        self._write(key, content)

    def remove(self, key: str) -> None:
        """Removes an item unconditionally, as the operator or a worker would."""
        self._remove(key)

    def _lacks_lease(self, transaction: Transaction) -> bool:
        self._expire()
        return bool(transaction.leased) and transaction.lease not in self._leases

    def _apply(self, transaction: Transaction) -> Committed | Conflict:
        self._expire()
        current = {key: self._item(key) for key in transaction.expected}
        if any(
            item.revision != transaction.expected[key] for key, item in current.items()
        ):
            return Conflict(current)
        self._revision += 1
        for key, content in transaction.writes.items():
            self._write(key, content)
            if key in transaction.leased and transaction.lease is not None:
                self._lease_by_key[key] = transaction.lease
        committed = Revision(self._revision)
        for key in transaction.removals:
            self._remove(key)
        return Committed(committed)

    def _write(self, key: str, content: bytes) -> None:
        item = StoreItem(key, Revision(self._revision), content)
        self.items[key] = item
        self._history.append(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._revision += 1
            self._history.append(StoreItem(key, Revision(self._revision), None))

    def _expire(self) -> None:
        now = self._clock.monotonic()
        ended = [lease for lease, (_ttl, end) in self._leases.items() if end <= now]
        for lease in ended:
            self.revoke(lease)

    def _item(self, key: str) -> StoreItem:
        return self.items.get(key, StoreItem(key, Revision(0), None))


def _refused() -> Failure:
    return Failure.not_run(Step.STORE_WRITE, _PEER, 'refused')


def _no_response() -> Failure:
    return Failure.unknown(Step.STORE_WRITE, _PEER, 'no response')
