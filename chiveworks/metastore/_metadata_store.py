"""Interface of the platform's metadata store: transactions, leases, watches."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from result import Result

from chiveworks.base import Failure, Revision, StoreLeaseId


@dataclass(frozen=True, slots=True)
class StoreItem:
    """One key as the store holds it.

    Attributes:
        key: Name of the item.
        revision: Revision of its last change; 0 when the key does not exist.
        content: Stored bytes; None when the key does not exist.
    """

    key: str
    revision: Revision
    content: bytes | None


@dataclass(frozen=True, slots=True)
class Listing:
    """Items below a prefix.

    Attributes:
        items: Items in the order of their keys; pages are not one snapshot.
        revision: Revision from which a watch misses no change.
    """

    items: Sequence[StoreItem]
    revision: Revision


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes below a prefix.

    Attributes:
        items: Changed items; deleted ones have no content.
        revision: Revision from which the next watch continues.
        compacted: Whether history was lost, so that the prefix must be read anew.
    """

    items: Sequence[StoreItem]
    revision: Revision
    compacted: bool = False


@dataclass(frozen=True, slots=True)
class Change:
    """A transaction that applies in full or not at all.

    Attributes:
        expected: Revision by key that must hold; 0 means that the key is absent.
        writes: New contents by key.
        removals: Keys to remove.
        lease: Lease that `leased` keys are bound to, if any.
        leased: Keys of `writes` that are removed when the lease ends.
    """

    expected: Mapping[str, Revision] = field(default_factory=dict)
    writes: Mapping[str, bytes] = field(default_factory=dict)
    removals: Sequence[str] = ()
    lease: StoreLeaseId | None = None
    leased: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was applied at `revision`."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Conflict:
    """The transaction was not applied; `items` has the keys as they are."""

    items: Mapping[str, StoreItem]


class MetadataStore(Protocol):
    """Calls of the store; a failure tells whether a write may have been applied."""

    async def read(
        self, key: str, *, stale: bool = False
    ) -> Result[StoreItem, Failure]:
        """Reads one key; a stale read is cheap and may be seconds old."""

    async def read_all(self, prefix: str) -> Result[Listing, Failure]:
        """Reads all keys below a prefix."""

    async def watch(
        self, prefix: str, after: Revision, wait: timedelta
    ) -> Result[WatchBatch, Failure]:
        """Waits at most `wait` for changes after a revision."""

    async def commit(self, change: Change) -> Result[Committed | Conflict, Failure]:
        """Applies a transaction."""

    async def grant_lease(self, ttl: timedelta) -> Result[StoreLeaseId, Failure]:
        """Creates a lease; its keys are removed when it ends."""

    async def renew_lease(self, lease: StoreLeaseId) -> Result[bool, Failure]:
        """Renews a lease; False when it has ended."""

    async def revoke_lease(self, lease: StoreLeaseId) -> Result[None, Failure]:
        """Ends a lease and removes its keys."""
