"""Interface of the metadata store, with transactions, leases and watches."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from result import Result

from chiveworks.base import Failure, Revision, StoreLeaseId


@dataclass(frozen=True, slots=True)
class StoreItem:
    """State of a key in the store.

    Attributes:
        key: The key.
        revision: Revision of its last change; 0 if the key does not exist.
        content: Stored bytes; None if the key does not exist.
    """

    key: str
    revision: Revision
    content: bytes | None


@dataclass(frozen=True, slots=True)
class Listing:
    """All items under a prefix.

    Attributes:
        items: Items sorted by key; not a consistent snapshot, as they may be read in
            several pages.
        revision: Revision after which a watch must start to miss no change.
    """

    items: Sequence[StoreItem]
    revision: Revision


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes under a prefix.

    Attributes:
        items: Changed items; deleted ones have no content.
        revision: Revision after which the next watch must start.
        compacted: Whether the store has compacted the requested history, so that the
            prefix must be listed again.
    """

    items: Sequence[StoreItem]
    revision: Revision
    compacted: bool = False


@dataclass(frozen=True, slots=True)
class Transaction:
    """An atomic transaction.

    Attributes:
        expected: Required revisions by key; 0 requires that the key does not exist.
        writes: New contents by key.
        removals: Keys to remove.
        lease: Lease to bind the `leased` keys to, if any.
        leased: Keys of `writes` that are removed when the lease ends.
    """

    expected: Mapping[str, Revision] = field(default_factory=dict)
    writes: Mapping[str, bytes] = field(default_factory=dict)
    removals: Sequence[str] = ()
    lease: StoreLeaseId | None = None
    leased: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Committed:
    """Result of a transaction that was applied.

    Attributes:
        revision: Revision of the transaction.
    """

    revision: Revision


@dataclass(frozen=True, slots=True)
class Conflict:
    """Result of a transaction that was not applied.

    Attributes:
        items: Current items, by key.
    """

    items: Mapping[str, StoreItem]


class MetadataStore(Protocol):
    """Client of the store; a failure tells whether a write may have been applied."""

    async def read(
        self, key: str, *, stale: bool = False
    ) -> Result[StoreItem, Failure]:
        """Reads a key; a stale read is cheaper, but may be seconds out of date."""

    async def read_all(self, prefix: str) -> Result[Listing, Failure]:
        """Reads all keys under a prefix."""

    async def watch(
        self, prefix: str, after: Revision, wait: timedelta
    ) -> Result[WatchBatch, Failure]:
        """Waits up to `wait` for changes after a revision."""

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed | Conflict, Failure]:
        """Applies a transaction if all its expected revisions match."""

    async def grant_lease(self, ttl: timedelta) -> Result[StoreLeaseId, Failure]:
        """Creates a lease; its keys are removed when it ends."""

    async def renew_lease(self, lease: StoreLeaseId) -> Result[bool, Failure]:
        """Renews a lease; the result is False if the lease has ended."""

    async def revoke_lease(self, lease: StoreLeaseId) -> Result[None, Failure]:
        """Ends a lease and removes its keys."""
