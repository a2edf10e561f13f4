"""Probes of endpoints whose connections stopped responding."""

import asyncio
from datetime import timedelta

import aiohttp

from chiveworks.base import Clock
from chiveworks.routing._attempt_error import AttemptError
from chiveworks.routing._connections import Connections
from chiveworks.routing._endpoint import Endpoint
from chiveworks.routing._settings import RoutingSettings

_PROBE_TIMEOUT = timedelta(seconds=2)
_FIRST_PAUSE = timedelta(seconds=1)


class Prober:
    """Checks whether endpoints respond on new connections."""

    def __init__(
        self, connections: Connections, clock: Clock, settings: RoutingSettings
    ) -> None:
        self._connections = connections
        self._clock = clock
        self._settings = settings
        self._probes: set[asyncio.Task[None]] = set()

    def start(self, endpoint: Endpoint) -> None:
        """Probes an endpoint in the background until it responds or leaves."""
        probe = asyncio.ensure_future(self._probe(endpoint))
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    async def close(self) -> None:
        """Cancels all probes."""
        for probe in self._probes:
            probe.cancel()
        await asyncio.gather(*self._probes, return_exceptions=True)

    async def _probe(self, endpoint: Endpoint) -> None:
        """Sends probes on new connections until there is any response."""
        pause = _FIRST_PAUSE
        while endpoint.probing and not endpoint.leaving:
            if await self._responds(endpoint):
                endpoint.end_probe()
                return
            self._connections.retire(endpoint)
            await self._connections.close_unused()
            await self._clock.sleep(pause)
            pause = min(pause * 2, self._settings.ejection_limit)

    async def _responds(self, endpoint: Endpoint) -> bool:
        lease = self._connections.lease(endpoint)
        timeout = aiohttp.ClientTimeout(total=_PROBE_TIMEOUT.total_seconds())
        try:
            async with lease.session.get(
                endpoint.instance.serve_url, timeout=timeout, allow_redirects=False
            ):
                return True
        except (AttemptError, aiohttp.ClientError, OSError):
            return False
        finally:
            lease.release()
