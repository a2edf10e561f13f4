"""Local copy of the platform's instance list."""

import logging
from collections import defaultdict
from collections.abc import Awaitable, Callable
from datetime import timedelta

from result import Err

from chiveworks.base import Clock, ZoneName
from chiveworks.instances import (
    Instance,
    InstanceList,
    InstanceRole,
    InstanceSnapshot,
)

_LOG = logging.getLogger(__name__)
_POLL_TIMEOUT = timedelta(seconds=10)
_RETRY_DELAY = timedelta(seconds=1)
_NO_REVISION = -1


class InstanceWatcher:
    """Polls the instance list; keeps the last snapshot while it is unavailable."""

    def __init__(
        self,
        instances: InstanceList,
        clock: Clock,
        on_change: Callable[[InstanceSnapshot], Awaitable[None]],
    ) -> None:
        self._instances = instances
        self._clock = clock
        self._on_change = on_change
        self._snapshot = InstanceSnapshot(_NO_REVISION, ())
        # Grouped once per snapshot: the scheduler reads it eight times a second, and
        # the list contains the instances of all zones.
        self._workers: dict[ZoneName, tuple[Instance, ...]] = {}

    def workers_in(self, zone: ZoneName) -> tuple[Instance, ...]:
        """Returns the listed workers of a zone, including those that are leaving."""
        return self._workers.get(zone, ())

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            polled = await self._instances.poll(self._snapshot.revision, _POLL_TIMEOUT)
            if isinstance(polled, Err):
                _LOG.warning('polling the instance list failed: %s', polled.err_value)
                await self._clock.sleep(_RETRY_DELAY)
            elif polled.ok_value is not None:
                self._snapshot = polled.ok_value
                self._workers = _workers_by_zone(polled.ok_value)
                await self._on_change(self._snapshot)


def _workers_by_zone(
    snapshot: InstanceSnapshot,
) -> dict[ZoneName, tuple[Instance, ...]]:
    found: dict[ZoneName, list[Instance]] = defaultdict(list)
    for instance in snapshot.instances:
        if instance.role is InstanceRole.WORKER:
            found[instance.zone].append(instance)
    return {zone: tuple(workers) for zone, workers in found.items()}
