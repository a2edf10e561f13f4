"""Interface of the platform's key-value store."""

from datetime import timedelta
from typing import Protocol

from result import Result

from chiveworks.base import Failure, Revision, StoreLeaseId
from chiveworks.store._conflict import StoreConflict
from chiveworks.store._read import StoreRead
from chiveworks.store._watch_batch import WatchBatch


class Store(Protocol):
    """Key-value store with compare-and-swap, leases and watches.

    Reads are linearizable. A write whose response was lost fails with the verdict
    "outcome unknown"; the caller resolves it by reading the key back.
    """

    async def fetch(self, key: str) -> Result[StoreRead, Failure]:
        """Reads one key; the result has no entries when the key is absent."""

    async def list_prefix(self, prefix: str) -> Result[StoreRead, Failure]:
        """Reads all keys that start with `prefix`, ordered by key."""

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        lease: StoreLeaseId | None = None,
    ) -> Result[Revision, Failure | StoreConflict]:
        """Writes `key` if its revision is `expected` (0: absent).

        Returns:
            The key's new revision.
        """

    async def delete(
        self, key: str, expected: Revision
    ) -> Result[Revision, Failure | StoreConflict]:
        """Deletes `key` if its revision is `expected`."""

    async def grant_lease(self, ttl: timedelta) -> Result[StoreLeaseId, Failure]:
        """Creates a lease; keys attached to it are deleted when it expires."""

    async def renew_lease(self, lease: StoreLeaseId) -> Result[bool, Failure]:
        """Extends a lease by its time to live; False when it has expired."""

    async def revoke_lease(self, lease: StoreLeaseId) -> Result[bool, Failure]:
        """Ends a lease and deletes its keys."""

    async def watch(
        self, prefix: str, after: Revision, wait: timedelta
    ) -> Result[WatchBatch, Failure]:
        """Waits up to `wait` for changes under `prefix` later than `after`."""
