"""Counts the calls to the store."""

from datetime import timedelta

from result import Result

from chiveworks.base import Failure, Revision, StoreLeaseId
from chiveworks.store import Store, StoreConflict, StoreRead, WatchBatch
from chiveworks.telemetry import Metrics


class MeteredStore:
    """Wraps a `Store` and counts each call, including long-polling watches."""

    def __init__(self, store: Store, metrics: Metrics) -> None:
        self._store = store
        self._metrics = metrics

    async def fetch(self, key: str) -> Result[StoreRead, Failure]:
        """Reads one key."""
        self._metrics.count_store_call('fetch')
        return await self._store.fetch(key)

    async def list_prefix(self, prefix: str) -> Result[StoreRead, Failure]:
        """Reads all keys under a prefix."""
        self._metrics.count_store_call('list')
        return await self._store.list_prefix(prefix)

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected: Revision,
        lease: StoreLeaseId | None = None,
    ) -> Result[Revision, Failure | StoreConflict]:
        """Writes a key if its revision equals `expected`."""
        self._metrics.count_store_call('write')
        return await self._store.compare_and_swap(key, value, expected, lease)

    async def delete(
        self, key: str, expected: Revision
    ) -> Result[Revision, Failure | StoreConflict]:
        """Deletes a key if its revision equals `expected`."""
        self._metrics.count_store_call('delete')
        return await self._store.delete(key, expected)

    async def grant_lease(self, ttl: timedelta) -> Result[StoreLeaseId, Failure]:
        """Creates a lease."""
        self._metrics.count_store_call('lease')
        return await self._store.grant_lease(ttl)

    async def renew_lease(self, lease: StoreLeaseId) -> Result[bool, Failure]:
        """Renews a lease."""
        self._metrics.count_store_call('lease')
        return await self._store.renew_lease(lease)

    async def revoke_lease(self, lease: StoreLeaseId) -> Result[bool, Failure]:
        """Revokes a lease."""
        self._metrics.count_store_call('lease')
        return await self._store.revoke_lease(lease)

    async def watch(
        self, prefix: str, after: Revision, wait: timedelta
    ) -> Result[WatchBatch, Failure]:
        """Waits for changes under a prefix."""
        self._metrics.count_store_call('watch')
        return await self._store.watch(prefix, after, wait)
