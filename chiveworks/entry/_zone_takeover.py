"""Takes over the shards of zones that are out of service and have no process."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from chiveworks.base import ZoneName
from chiveworks.catalogue import CatalogueReplica
from chiveworks.scheduler import ShardCandidate

_LOG = logging.getLogger(__name__)
#: The zone's own processes try to acquire the shard at once, and a change of owner
#: among them takes less than this time. Candidates wait a random 50 to 100 % of it.
#: Also the timeout of a release.
_CONTEND_DELAY = timedelta(seconds=30)


class ZoneTakeover:
    """Contends for the shards of other zones while these are out of service.

    The jobs of a lost zone can be moved only by the owner of its shard. An owner in
    another zone waits until the leases of all workers that it cannot reach have
    expired, and then moves the jobs like any owner of a zone that is out of service.
    It releases the shard when the zone is back in service.
    """

    def __init__(
        self,
        zone: ZoneName,
        zones: tuple[ZoneName, ...],
        replica: CatalogueReplica,
        candidate_for: Callable[[ZoneName, timedelta], ShardCandidate],
    ) -> None:
        self._other_zones = tuple(other for other in zones if other != zone)
        self._replica = replica
        self._candidate_for = candidate_for
        self._candidates: dict[ZoneName, ShardCandidate] = {}
        self._tasks: dict[ZoneName, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Creates and releases candidates as zones change state, until cancelled."""
        try:
            while True:
                seen = self._replica.change_count
                for zone in self._other_zones:
                    await self._update_candidate(zone)
                await self._replica.wait_for_change(seen)
        finally:
            for task in self._tasks.values():
                task.cancel()

    async def release(self) -> None:
        """Releases all shards taken over, for a graceful shutdown."""
        for zone in tuple(self._candidates):
            await self._release_candidate(zone)

    async def _update_candidate(self, zone: ZoneName) -> None:
        is_out = not self._replica.is_in_service(zone)
        if is_out and zone not in self._candidates:
            candidate = self._candidate_for(zone, _CONTEND_DELAY)
            self._candidates[zone] = candidate
            self._tasks[zone] = asyncio.ensure_future(candidate.run())
        elif not is_out and zone in self._candidates:
            await self._release_candidate(zone)

    async def _release_candidate(self, zone: ZoneName) -> None:
        candidate = self._candidates.pop(zone)
        task = self._tasks.pop(zone)
        await candidate.release()
        _LOG.info('no longer contending for the shard of zone %s', zone)
        if candidate.is_owner:
            # Lets `run` revoke the lease, so that another process can acquire the shard
            # at once.
            await asyncio.wait((task,), timeout=_CONTEND_DELAY.total_seconds())
        task.cancel()
