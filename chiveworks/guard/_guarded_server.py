"""HTTP server whose connections are kept within a budget."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Final

from aiohttp import web

from chiveworks.base import Clock
from chiveworks.guard._client_budget import ClientBudget
from chiveworks.guard._client_guard import ClientGuard
from chiveworks.guard._guarded_connection import GuardedConnection
from chiveworks.guard._request_limits import RequestLimits
from chiveworks.guard._turn_away_counts import TurnAwayCounts
from chiveworks.guard._turn_away_reason import TurnAwayReason

#: Interval at which timeouts are checked, a twelfth of the default header timeout.
SWEEP_INTERVAL: Final = timedelta(milliseconds=250)
_LOG: Final = logging.getLogger(__name__)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def _report_nothing(_kind: str) -> None:
    """Leaves requests that cannot be read to the counts."""


class GuardedServer(web.Server):
    """Creates guarded connections and carries out what the guard decides.

    Args:
        handler: Handles a request.
        budget: Maximum number of connections and size of unfinished requests.
        limits: Returns the limits on a request.
        clock: Source of time.
        counts: Counts the clients that are turned away.
        decompresses: Whether compressed bodies are decompressed.
        logger: Logger for errors of connections.
        report_unreadable: Called with the kind of the error of each request that cannot
            be read.
    """

    def __init__(
        self,
        handler: Handler,
        budget: ClientBudget,
        limits: Callable[[], RequestLimits],
        clock: Clock,
        counts: TurnAwayCounts,
        *,
        decompresses: bool = True,
        logger: logging.Logger = _LOG,
        report_unreadable: Callable[[str], None] = _report_nothing,
    ) -> None:
        super().__init__(self._handle_within_limits)
        self._handler = handler
        self._clock = clock
        self.limits = limits
        self.now = clock.monotonic
        self.counts = counts
        self.decompresses = decompresses
        self.logger = logger
        self.report_unreadable = report_unreadable
        self.guard: ClientGuard[GuardedConnection] = ClientGuard(
            budget, limits, clock.monotonic()
        )

    def __call__(self) -> web.RequestHandler:
        """Creates the protocol of a new connection."""
        return GuardedConnection(self, self._loop)

    async def close_late_connections(self) -> None:
        """Closes connections whose time is over, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL.total_seconds())
            try:
                self._drop_expired()
            except Exception:
                # The next sweep goes on; without it no timeout would apply any more.
                self.logger.exception('late connections were not closed')

    def _drop_expired(self) -> None:
        for connection, reason in self.guard.expire(self.now()):
            connection.drop(reason)

    def pre_shutdown(self) -> None:
        """Refuses requests whose bodies are unfinished, which would delay the stop."""
        for connection in self.guard.refuse_unfinished(self.now()):
            connection.drop(TurnAwayReason.STOPPING)
        super().pre_shutdown()

    def admit(self, connection: GuardedConnection) -> bool:
        """Adds a connection; returns False if there is no place for it."""
        admitted, dropped = self.guard.open(connection, self.now())
        for victim, reason in dropped:
            victim.drop(reason)
        if not admitted:
            self.counts.add(TurnAwayReason.CONNECTIONS)
        return admitted

    def hold(self, connection: GuardedConnection, size: int) -> bool:
        """Charges memory to a request; returns whether it fits."""
        fits, dropped = self.guard.hold(connection, size, self.now())
        for victim, reason in dropped:
            victim.drop(reason)
        return fits

    def allow_overhead(self, size: int) -> bool:
        """Charges overhead of chunks; returns whether it is allowed."""
        return self.guard.allow_overhead(size, self.now())

    async def _handle_within_limits(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, GuardedConnection)
        if not connection.has_large_header(request):
            return await self._handler(request)
        connection.refuse(TurnAwayReason.HEADER_TOO_LARGE)
        response = web.Response(status=431)
        response.force_close()
        return response
