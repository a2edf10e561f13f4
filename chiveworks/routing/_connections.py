"""Connection pools, one for each endpoint."""

import errno
from contextlib import AsyncExitStack

import aiohttp

from chiveworks.base._connector import LoopConnector
from chiveworks.routing._attempt_end import AttemptEnd
from chiveworks.routing._attempt_error import AttemptError
from chiveworks.routing._endpoint import Endpoint
from chiveworks.routing._lease import Lease
from chiveworks.routing._settings import RoutingSettings

#: Headers that aiohttp would otherwise add to those of the caller.
_NO_AUTOMATIC_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')


class Connections:
    """Client sessions by endpoint, so that the pool of one can be dropped."""

    def __init__(self, settings: RoutingSettings) -> None:
        self._settings = settings
        self._sessions: dict[Endpoint, aiohttp.ClientSession] = {}
        self._request_counts: dict[aiohttp.ClientSession, int] = {}

    def lease(self, endpoint: Endpoint) -> Lease:
        """Counts a request to the endpoint and returns a lease of its session."""
        session = self._sessions.get(endpoint)
        if session is None:
            session = self._open_session()
            self._sessions[endpoint] = session
        self._request_counts[session] = self._request_counts.get(session, 0) + 1
        endpoint.in_flight += 1
        return Lease(endpoint, session, self._release)

    def retire(self, endpoint: Endpoint) -> None:
        """Stops reusing the endpoint's connections.

        Requests in progress on them continue; the next request opens a new one.
        """
        self._sessions.pop(endpoint, None)

    async def close_unused(self) -> None:
        """Closes retired sessions that have no request in progress."""
        current = set(self._sessions.values())
        for session, request_count in tuple(self._request_counts.items()):
            if not request_count and session not in current:
                self._request_counts.pop(session)
                await session.close()

    def retire_leaving(self) -> None:
        """Stops reusing connections to endpoints that are leaving or unlisted."""
        for endpoint in tuple(self._sessions):
            if endpoint.leaving:
                self.retire(endpoint)

    async def close(self) -> None:
        """Closes all connections."""
        async with AsyncExitStack() as stack:
            for session in self._request_counts:
                stack.push_async_callback(session.close)
        self._sessions.clear()
        self._request_counts.clear()

    def _release(self, lease: Lease) -> None:
        lease.endpoint.in_flight -= 1
        if lease.session in self._request_counts:
            self._request_counts[lease.session] -= 1

    def _open_session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            # The capacity of an endpoint already limits its connections. A request in
            # the connector's own queue would look like one in progress.
            connector=LoopConnector(
                limit=0,
                keepalive_timeout=self._settings.idle_limit.total_seconds(),
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_NO_AUTOMATIC_HEADERS,
            middlewares=(_classify_errors,),
        )


async def _classify_errors(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Converts aiohttp errors to `AttemptError`.

    Runs inside the retry loop of aiohttp, which resends requests with an idempotent
    method, such as GET and PUT, after a keep-alive connection breaks. `AttemptError`
    leaves that loop immediately, so a request is never sent twice here.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientError, OSError) as error:
        raise AttemptError(_classify(error), str(error)) from error


def _classify(error: Exception) -> AttemptEnd:
    """Returns how an attempt without a response ended."""
    if isinstance(error, aiohttp.ConnectionTimeoutError):
        return AttemptEnd.CONNECT_TIMEOUT
    if isinstance(error, (aiohttp.ClientConnectorError, aiohttp.InvalidURL)):
        return AttemptEnd.CONNECT_FAILED
    if isinstance(error, OSError) and error.errno == errno.EPIPE:
        return AttemptEnd.SEND_FAILED
    if isinstance(error, (aiohttp.ServerDisconnectedError, OSError)):
        return AttemptEnd.DISCONNECTED
    return AttemptEnd.MALFORMED_ANSWER
