"""Pooled connections, kept apart for each endpoint."""

import errno
from contextlib import AsyncExitStack

import aiohttp

from chiveworks.routing._attempt_end import AttemptEnd
from chiveworks.routing._attempt_error import AttemptError
from chiveworks.routing._endpoint import Endpoint
from chiveworks.routing._lease import Lease
from chiveworks.routing._settings import RoutingSettings

#: Headers that the library would add to those of the caller.
_NO_AUTOMATIC_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')


class Connections:
    """One client session per endpoint, so that one's connections can be dropped."""

    def __init__(self, settings: RoutingSettings) -> None:
        self._settings = settings
        self._sessions: dict[Endpoint, aiohttp.ClientSession] = {}
        self._users: dict[aiohttp.ClientSession, int] = {}

    def lease(self, endpoint: Endpoint) -> Lease:
        """Counts a request to the endpoint and returns the session to send it on."""
        session = self._sessions.get(endpoint)
        if session is None:
            session = self._open_session()
            self._sessions[endpoint] = session
        self._users[session] = self._users.get(session, 0) + 1
        endpoint.in_flight += 1
        return Lease(endpoint, session, self._release)

    def retire(self, endpoint: Endpoint) -> None:
        """Stops reusing the endpoint's connections.

        Requests in progress on them go on; the next request opens a new connection.
        """
        self._sessions.pop(endpoint, None)

    async def close_unused(self) -> None:
        """Closes retired sessions that have no request left."""
        current = set(self._sessions.values())
        for session, users in tuple(self._users.items()):
            if not users and session not in current:
                self._users.pop(session)
                await session.close()

    def retire_leaving(self) -> None:
        """Stops reusing connections to endpoints that leave or vanished."""
        for endpoint in tuple(self._sessions):
            if endpoint.leaving:
                self.retire(endpoint)

    async def close(self) -> None:
        """Closes all connections."""
        async with AsyncExitStack() as stack:
            for session in self._users:
                stack.push_async_callback(session.close)
        self._sessions.clear()
        self._users.clear()

    def _release(self, lease: Lease) -> None:
        lease.endpoint.in_flight -= 1
        if lease.session in self._users:
            self._users[lease.session] -= 1

    def _open_session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            # The endpoint table bounds connections; a queue inside the connector
            # would hide the wait from it.
            connector=aiohttp.TCPConnector(
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
    """Turns the library's errors into `AttemptError`.

    It runs inside the library's own loop, which sends GET, PUT and DELETE again
    after a broken kept-alive connection. `AttemptError` leaves that loop at once, so
    a request is never sent twice here.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientError, OSError) as error:
        raise AttemptError(_classify(error), str(error)) from error


def _classify(error: Exception) -> AttemptEnd:
    """Returns how an attempt ended whose request got no answer."""
    if isinstance(error, aiohttp.ConnectionTimeoutError):
        return AttemptEnd.CONNECT_TIMEOUT
    if isinstance(error, (aiohttp.ClientConnectorError, aiohttp.InvalidURL)):
        return AttemptEnd.CONNECT_FAILED
    if isinstance(error, OSError) and error.errno == errno.EPIPE:
        return AttemptEnd.SEND_FAILED
    if isinstance(error, (aiohttp.ServerDisconnectedError, OSError)):
        return AttemptEnd.DISCONNECTED
    return AttemptEnd.MALFORMED_ANSWER
