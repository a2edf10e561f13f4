"""Store leases that delete keys after a retention period."""

from datetime import timedelta

from result import Err, Ok, Result

from chiveworks.base import Clock, Failure, StoreLeaseId
from chiveworks.store._store import Store

#: Keys written within this period share one lease, to save calls to the store.
_SHARING_PERIOD = timedelta(hours=1)


class RetentionLease:
    """Provides leases that are never renewed, so that their keys expire.

    A key is kept for at least `retention` and at most an hour longer.
    """

    def __init__(self, store: Store, clock: Clock, retention: timedelta) -> None:
        self._store = store
        self._clock = clock
        self._retention = retention
        self._lease: StoreLeaseId | None = None
        self._granted_at = timedelta(0)

    async def current(self) -> Result[StoreLeaseId, Failure]:
        """Returns the lease to attach to keys that are written now."""
        now = self._clock.monotonic()
        if self._lease is not None and now - self._granted_at < _SHARING_PERIOD:
            return Ok(self._lease)
        granted = await self._store.grant_lease(self._retention + _SHARING_PERIOD)
        if isinstance(granted, Err):
            return granted
        self._lease = granted.ok_value
        self._granted_at = now
        return Ok(self._lease)
