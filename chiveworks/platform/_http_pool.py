"""Connections to one server of the platform, reused by later requests."""

import asyncio
from datetime import timedelta
from functools import partial
from typing import Final
from urllib.parse import urlencode

from result import Err, Result

from chiveworks.base import Failure, Step
from chiveworks.base._http_outcome import check_status, request_failure
from chiveworks.base._http_response import HttpResponse
from chiveworks.platform._deadline_timer import DeadlineTimer
from chiveworks.platform._http_connection import HttpConnection, ResponseLostError
from chiveworks.platform._peer_check import PeerCheck

#: Timeout for opening a connection, which takes a few ms within a region.
CONNECT_TIMEOUT: Final = timedelta(milliseconds=400)
#: Time for which an idle connection is kept.
IDLE_TIMEOUT: Final = timedelta(seconds=15)
# The event loop raises ValueError and UnicodeError for an odd host, and uvloop some
# errors as RuntimeError.
_CONNECT_ERRORS: Final = (OSError, ValueError, RuntimeError)


class HttpPool:
    """Sends requests to one address, each on a connection of its own at that time.

    Sockets belong to the event loop from the start. If a connected socket object is
    handed to uvloop instead and the caller gives up meanwhile, its descriptor is closed
    twice, and the second time it may belong to another connection.

    Args:
        address: Host and port.
        headers: Headers added to every request; neither names nor values are checked.
        limit: Maximum number of connections; further requests wait for one.
    """

    def __init__(self, address: str, headers: dict[str, str], limit: int) -> None:
        self._address = address
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        lines = [f'{name}: {text}\r\n' for name, text in headers.items()]
        self._header_lines = ''.join([f'Host: {address}\r\n', *lines])
        self._idle: list[HttpConnection] = []
        self._busy: set[HttpConnection] = set()
        self._closed = False
        self._slots = asyncio.Semaphore(limit)

    async def call(
        self,
        method: str,
        path: str,
        step: Step,
        *,
        query: dict[str, str] | None,
        body: bytes,
        timeout: timedelta,
        writes: bool,
        check: PeerCheck | None = None,
    ) -> Result[HttpResponse, Failure]:
        """Sends a request without retries and reads the whole response.

        Args:
            method: HTTP method.
            path: Path of the URL.
            step: Step reported by failures after the connection was established.
            query: Query parameters.
            body: Request body; empty for none.
            timeout: Total time limit.
            writes: Whether the request has an effect. A failed read has none, so its
                verdict is always "not run".
            check: Makes sure that the expected incarnation executes the request.

        Returns:
            The response, or a failure if there is none or its status is 429 or 5xx.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout.total_seconds()
        async with self._slots:
            if loop.time() >= deadline:
                message = 'no connection became free in time'
                return Err(Failure.not_run(Step.CONNECT, self._peer, message))
            return await self._call(
                self._encode(method, path, query, body),
                step,
                deadline,
                writes=writes,
                check=check,
            )

    def close(self) -> None:
        """Closes all connections; requests that wait for a response fail."""
        self._closed = True
        for connection in (*self._idle, *self._busy):
            connection.close()
        self._idle.clear()

    @property
    def _peer(self) -> str:
        return f'http://{self._address}'

    async def _call(
        self,
        request: bytes,
        step: Step,
        deadline: float,
        *,
        writes: bool,
        check: PeerCheck | None,
    ) -> Result[HttpResponse, Failure]:
        try:
            connection = await self._acquire(deadline, check)
        except _CONNECT_ERRORS as error:
            return Err(Failure.not_run(Step.CONNECT, self._peer, _describe(error)))
        sent_at = asyncio.get_running_loop().time()
        timer = DeadlineTimer(deadline, partial(self._give_up, connection, sent_at))
        may_have_run = False
        try:
            response = await self._check_peer(connection, check)
            if response is None:
                may_have_run = writes
                response = await connection.send(request)
        except ResponseLostError as error:
            return Err(
                request_failure(step, self._peer, str(error), writes=may_have_run)
            )
        finally:
            timer.cancel()
            self._release(connection)
        return check_status(response, step, self._peer, writes=may_have_run)

    async def _check_peer(
        self, connection: HttpConnection, check: PeerCheck | None
    ) -> HttpResponse | None:
        """Returns the response to a check that takes the place of the request, if any."""
        if check is None or connection.peer_id == check.expected:
            return None
        response = await connection.send(
            self._encode('POST', check.path, None, check.body)
        )
        connection.peer_id = check.identify(response)
        return check.answer(response, connection.peer_id)

    def _give_up(self, connection: HttpConnection, sent_at: float) -> None:
        """Closes a connection without a response, and the idle ones like it.

        Something between the two ends may have lost track of all connections that were
        open at the time, while new ones work. Those that have responded since are kept.
        """
        connection.close('no response in time')
        kept = [idle for idle in self._idle if idle.released_at >= sent_at]
        for suspect in self._idle:
            if suspect not in kept:
                suspect.close()
        self._idle = kept

    async def _acquire(
        self, deadline: float, check: PeerCheck | None
    ) -> HttpConnection:
        loop = asyncio.get_running_loop()
        oldest = loop.time() - IDLE_TIMEOUT.total_seconds()
        while self._idle:
            connection = self._idle.pop(self._best_idle(check))
            if connection.idle and connection.released_at >= oldest:
                self._busy.add(connection)
                return connection
            connection.close()
        limit = min(deadline, loop.time() + CONNECT_TIMEOUT.total_seconds())
        async with asyncio.timeout(None) as scope:
            timer = DeadlineTimer(limit, lambda: scope.reschedule(loop.time()))
            try:
                _, connection = await loop.create_connection(
                    HttpConnection, self._host, self._port
                )
            finally:
                timer.cancel()
        self._busy.add(connection)
        return connection

    def _best_idle(self, check: PeerCheck | None) -> int:
        """Returns the index of the idle connection to use, if possible a checked one."""
        last = len(self._idle) - 1
        if check is None:
            return last
        checked = (
            index
            for index in range(last, -1, -1)
            if self._idle[index].peer_id == check.expected
        )
        return next(checked, last)

    def _release(self, connection: HttpConnection) -> None:
        self._busy.discard(connection)
        if connection.idle and not self._closed:
            connection.released_at = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            connection.close()

    def _encode(
        self, method: str, path: str, query: dict[str, str] | None, body: bytes
    ) -> bytes:
        target = f'{path}?{urlencode(query)}' if query else path
        head = (
            f'{method} {target} HTTP/1.1\r\n{self._header_lines}'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        return head.encode() + body


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
