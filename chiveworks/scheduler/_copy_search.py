"""Search for copies of a task started by hand in other zones."""

import asyncio

from result import Err

from chiveworks.base import Failure, Step, TaskId, ZoneName
from chiveworks.membership import ShardClient


class CopySearch:
    """Asks the owners of the other shards whether a held task runs in their zone."""

    def __init__(
        self, shards: ShardClient, zone: ZoneName, zones: tuple[ZoneName, ...]
    ) -> None:
        self._shards = shards
        self._others = tuple(other for other in zones if other != zone)

    async def find_obstacle(
        self, task_id: TaskId, *, may_run_twice: bool
    ) -> Failure | None:
        """Returns the reason why the task must not run again now, if any.

        Args:
            task_id: The held task.
            may_run_twice: Whether the task is idempotent. If so, no zone is an
                obstacle.

        Returns:
            The failure to show to the operator, or None if the task may run again.
        """
        obstacles = await asyncio.gather(
            *(self._ask(zone, task_id) for zone in self._others)
        )
        for obstacle in obstacles:
            if obstacle is not None and not may_run_twice:
                return obstacle
        return None

    async def _ask(self, zone: ZoneName, task_id: TaskId) -> Failure | None:
        described = await self._shards.of_zone(zone).describe_shard()
        if isinstance(described, Err):
            return Failure.not_run(
                Step.VALIDATE,
                zone,
                f'zone {zone} does not respond, so it is not known whether the task '
                'was started there by hand',
                'repeat the command once the zone responds',
            )
        for override in described.ok_value.overrides:
            if override.task_id == task_id:
                return Failure.not_run(
                    Step.VALIDATE,
                    zone,
                    f'the task was started by hand on {override.worker}',
                    f'revert {override.override_id} first, or adopt this override',
                )
        return None
