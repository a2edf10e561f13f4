"""This process's copy of the platform's instance list."""

import logging
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
_POLL_WAIT = timedelta(seconds=10)
_RETRY = timedelta(seconds=1)
_NEVER = -1


class InstanceWatcher:
    """Polls the list; the last answer is kept while the list is away."""

    def __init__(
        self,
        instances: InstanceList,
        clock: Clock,
        on_change: Callable[[InstanceSnapshot], Awaitable[None]],
    ) -> None:
        self._instances = instances
        self._clock = clock
        self._on_change = on_change
        self._snapshot = InstanceSnapshot(_NEVER, ())

    def workers_in(self, zone: ZoneName) -> tuple[Instance, ...]:
        """Returns the listed workers of a zone, leaving ones included."""
        return tuple(
            instance
            for instance in self._snapshot.instances
            if instance.zone == zone and instance.role is InstanceRole.WORKER
        )

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            polled = await self._instances.poll(self._snapshot.revision, _POLL_WAIT)
            if isinstance(polled, Err):
                _LOG.warning('the instance list is not available: %s', polled.err_value)
                await self._clock.sleep(_RETRY)
            elif polled.ok_value is not None:
                self._snapshot = polled.ok_value
                await self._on_change(self._snapshot)
