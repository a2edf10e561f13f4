"""Takes over the shards of zones that are out and have no process left."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from chiveworks.base import ZoneName
from chiveworks.catalogue import CatalogueReplica
from chiveworks.scheduler import ShardCandidate

_LOG = logging.getLogger(__name__)
#: A zone's own processes contend at once; they come back within this time from
#: a change of owner.
_VACANCY_DELAY = timedelta(seconds=30)


class ZoneTakeover:
    """Contends for other zones' shards while operators have them out.

    A zone that was lost leaves jobs behind that only its shard's owner may move.
    The owner from another zone waits until every lease of the lost workers has
    lapsed, unless it reaches them, and then moves the jobs like any owner of a
    zone that is out. It gives the shard up when the zone is back.
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
        """Follows the zones' switches until cancelled."""
        try:
            while True:
                seen = self._replica.changes
                for zone in self._other_zones:
                    await self._update_candidate(zone)
                await self._replica.wait_changed(seen)
        finally:
            for task in self._tasks.values():
                task.cancel()

    async def release(self) -> None:
        """Gives all taken shards up, for a planned stop."""
        for zone in tuple(self._candidates):
            await self._release_candidate(zone)

    async def _update_candidate(self, zone: ZoneName) -> None:
        is_out = not self._replica.is_in_service(zone)
        if is_out and zone not in self._candidates:
            candidate = self._candidate_for(zone, _VACANCY_DELAY)
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
            # The tenure ends by itself once the release is recorded.
            await asyncio.wait((task,), timeout=_VACANCY_DELAY.total_seconds())
        task.cancel()
