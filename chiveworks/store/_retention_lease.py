"""Removal of old keys by the store itself."""

from datetime import timedelta

from result import Err, Ok, Result

from chiveworks.base import Clock, Failure, StoreLeaseId
from chiveworks.store._store import Store

#: Keys of this period share one lease, so that leases cost next to no calls.
_SHARED = timedelta(hours=1)


class RetentionLease:
    """Provides leases that are never renewed; their keys vanish at the end.

    A key lives for at least `retention` and at most an hour longer.
    """

    def __init__(self, store: Store, clock: Clock, retention: timedelta) -> None:
        self._store = store
        self._clock = clock
        self._retention = retention
        self._lease: StoreLeaseId | None = None
        self._granted = timedelta(0)

    async def current(self) -> Result[StoreLeaseId, Failure]:
        """Returns the lease for keys written now."""
        now = self._clock.monotonic()
        if self._lease is not None and now - self._granted < _SHARED:
            return Ok(self._lease)
        granted = await self._store.grant_lease(self._retention + _SHARED)
        if isinstance(granted, Err):
            return granted
        self._lease = granted.ok_value
        self._granted = now
        return Ok(self._lease)
