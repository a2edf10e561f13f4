"""Ownership of a shard, backed by a lease in the platform's store."""

from datetime import timedelta

import msgpack
from numpy.random import Generator
from result import Err, Ok, Result

from chiveworks.base import (
    Clock,
    EntryId,
    Epoch,
    Failure,
    Revision,
    StoreLeaseId,
    ZoneName,
)
from chiveworks.journal import owner_key
from chiveworks.scheduler._shard_lost_error import ShardLostError
from chiveworks.scheduler._timings import SchedulerTimings
from chiveworks.store import Store, StoreConflict

_ABSENT = Revision(0)
_NONCE_BYTES = 12
#: Timeout of one watch call; a dead connection delays a takeover by at most this.
_WATCH_TIMEOUT = timedelta(seconds=3)
_RETRY_DELAY = timedelta(seconds=1)
_RETRIES_PER_PERIOD = 4


class ShardLease:
    """Creates the shard's owner key, renews its lease and releases it.

    The revision at which the key was created is the epoch. Store revisions only
    increase, so a later owner always has a higher epoch.
    """

    def __init__(
        self,
        store: Store,
        zone: ZoneName,
        entry_id: EntryId,
        peer_address: str,
        clock: Clock,
        random: Generator,
        timings: SchedulerTimings,
    ) -> None:
        self._store = store
        self._zone = zone
        self._entry_id = entry_id
        self._peer_address = peer_address
        self._clock = clock
        self._random = random
        self._timings = timings
        self._lease: StoreLeaseId | None = None
        self._last_renewed = timedelta(0)

    @property
    def time_since_renewal(self) -> timedelta:
        """Time since the store last responded to a renewal."""
        return self._clock.monotonic() - self._last_renewed

    async def acquire(self) -> Result[Epoch | None, Failure]:
        """Tries to become the owner; returns None if the shard already has one."""
        granted = await self._store.grant_lease(self._timings.shard_lease)
        if isinstance(granted, Err):
            return granted
        lease = granted.ok_value
        nonce = self._random.bytes(_NONCE_BYTES)
        claim = msgpack.packb([self._entry_id, self._peer_address, nonce])
        created = await self._store.compare_and_swap(
            owner_key(self._zone), claim, _ABSENT, lease
        )
        epoch = await self._resolve_claim(created, claim)
        if isinstance(epoch, Ok) and epoch.ok_value is not None:
            self._lease = lease
            self._last_renewed = self._clock.monotonic()
        else:
            await self._store.revoke_lease(lease)
        return epoch

    async def wait_until_unowned(self) -> None:
        """Waits until the shard has no owner.

        Calling `acquire` earlier would waste writes: at the design size hundreds of
        processes wait, and each attempt costs three writes.
        """
        while not await self._watch_until_absent():
            await self._clock.sleep(_RETRY_DELAY * float(self._random.uniform(0.5, 1)))

    async def _watch_until_absent(self) -> bool:
        """Waits until the owner key is absent; returns False if a store call failed.

        Also returns False if the store has compacted the revisions to be watched.
        """
        read = await self._store.fetch(owner_key(self._zone))
        if isinstance(read, Err):
            return False
        if read.ok_value.first() is None:
            return True
        revision = read.ok_value.revision
        while True:
            watched = await self._store.watch(
                owner_key(self._zone), revision, _WATCH_TIMEOUT
            )
            if isinstance(watched, Err) or watched.ok_value.compacted:
                return False
            events = watched.ok_value.events
            if events and events[-1].deleted:
                return True
            revision = watched.ok_value.revision

    async def renew_until_lost(self) -> None:
        """Renews the lease until it is lost.

        Raises:
            ShardLostError: The lease lapsed, or the store has not responded for longer
                than `store_outage_tolerance`. A successor waits at least that long
                before it counts the tasks of unreachable workers as ended.
        """
        pause = self._timings.shard_renew
        while True:
            await self._clock.sleep(pause)
            # Retries sooner after a failure, because the lease lasts only a few renewal
            # periods.
            pause = self._timings.shard_renew / _RETRIES_PER_PERIOD
            renewed = await self._store.renew_lease(self._require_lease())
            if isinstance(renewed, Ok):
                if not renewed.ok_value:
                    raise ShardLostError('the lease in the store has lapsed')
                self._last_renewed = self._clock.monotonic()
                pause = self._timings.shard_renew
            elif self.time_since_renewal > self._timings.store_outage_tolerance:
                raise ShardLostError(
                    'the store has not responded to a renewal for longer than '
                    'store_outage_tolerance_ms'
                )

    async def release(self) -> None:
        """Revokes the lease, so that another process can take over at once."""
        if self._lease is not None:
            await self._store.revoke_lease(self._lease)
            self._lease = None

    async def _resolve_claim(
        self, created: Result[Revision, Failure | StoreConflict], claim: bytes
    ) -> Result[Epoch | None, Failure]:
        if isinstance(created, Ok):
            return Ok(Epoch(created.ok_value))
        if isinstance(created.err_value, StoreConflict):
            return Ok(None)
        # The response was lost, but the write may have taken effect.
        read = await self._store.fetch(owner_key(self._zone))
        if isinstance(read, Err):
            return Err(created.err_value)
        found = read.ok_value.first()
        if found is not None and found.value == claim:
            return Ok(Epoch(found.create_revision))
        return Ok(None)

    def _require_lease(self) -> StoreLeaseId:
        if self._lease is None:
            raise ShardLostError('this process holds no lease on the shard')
        return self._lease
