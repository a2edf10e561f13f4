"""Graceful shutdown of the HTTP server."""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from datetime import timedelta

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.typedefs import Handler, Middleware

from chiveworks.base import Clock, SystemClock

#: Time for connections without a request to end; requests have ended before.
_CLOSE_TIMEOUT = timedelta(seconds=1)
#: Longer than balancers commonly keep idle connections, so that they close first
#: and no request meets a connection that is being closed.
_KEEPALIVE_TIMEOUT = timedelta(seconds=75)
_FLUSH_POLL_INTERVAL = timedelta(milliseconds=20)
_NO_GRACE = timedelta()

ShutdownHook = Callable[[], Awaitable[None]]


class DrainState:
    """Whether the process is stopping, and how many requests it still works on."""

    def __init__(self) -> None:
        self._draining = False
        self._requests_by_connection: Counter[web.RequestHandler] = Counter()
        self._idle = asyncio.Event()

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop has begun; readiness is its opposite."""
        return self._draining

    @property
    def in_progress(self) -> int:
        """Requests whose answers have not been written completely."""
        return self._requests_by_connection.total()

    def begin(self) -> None:
        """Begins the stop; later calls have no effect."""
        self._draining = True

    def is_busy(self, connection: web.RequestHandler) -> bool:
        """Tells whether a request of this connection is in progress."""
        return connection in self._requests_by_connection

    async def wait_idle(self) -> None:
        """Waits until no request is in progress, however long that takes."""
        while self._requests_by_connection:
            self._idle.clear()
            await self._idle.wait()

    def install(self, app: web.Application) -> None:
        """Adds the middleware and the header of drained answers to an application."""
        app.middlewares.append(self.middleware)
        app.on_response_prepare.append(self._close_after_response)

    @property
    def middleware(self) -> Middleware:
        """Middleware that counts requests in progress."""

        @web.middleware
        async def count(request: web.Request, handler: Handler) -> web.StreamResponse:
            connection = request.protocol
            self._requests_by_connection[connection] += 1
            try:
                response = await handler(request)
                # Sent here rather than by the library, so that an answer counts as
                # in progress until its last byte has been written.
                await response.prepare(request)
                await response.write_eof()
            except ConnectionError:
                # The caller is gone; the library notices it by itself.
                return web.Response()
            finally:
                self._requests_by_connection[connection] -= 1
                if not self._requests_by_connection[connection]:
                    self._requests_by_connection.pop(connection)
                self._idle.set()
            return response

        return count

    async def _close_after_response(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if self._draining:
            response.force_close()
            response.headers['Connection'] = 'close'


async def run_server(
    app: web.Application,
    host: str,
    port: int,
    stop_event: asyncio.Event,
    *,
    drain: DrainState,
    grace: timedelta = _NO_GRACE,
    before_grace: ShutdownHook | None = None,
    on_listening: Callable[[int], None] | None = None,
    clock: Clock | None = None,
) -> None:
    """Serves until `stop_event` is set, then stops without cutting off a request.

    The steps are those of design.md, section 9. The caller releases what handlers
    use (dispatcher, store) after this function has returned.

    Args:
        app: Application; `drain.install` is called here.
        host: Address to listen on.
        port: Port, 0 for any.
        stop_event: Set by the first signal; setting it again has no effect.
        drain: Shared with the readiness route.
        grace: Time for which the balancer may still send new requests.
        before_grace: Called after readiness has changed, for example to tell peers
            and release shard ownership.
        on_listening: Called with the port once the server accepts connections.
        clock: Source of time.
    """
    drain.install(app)
    async with AsyncExitStack() as stack:
        runner = web.AppRunner(
            app,
            access_log=None,
            handle_signals=False,
            shutdown_timeout=_CLOSE_TIMEOUT.total_seconds(),
            # Bodies are passed on as they are, with their Content-Encoding.
            auto_decompress=False,
            keepalive_timeout=_KEEPALIVE_TIMEOUT.total_seconds(),
            logger=_open_logger(),
        )
        stack.push_async_callback(_close, runner, drain)
        await runner.setup()
        site = web.TCPSite(runner, host, port)
        await site.start()
        if on_listening is not None:
            on_listening(runner.addresses[0][1])
        await stop_event.wait()
        drain.begin()
        if before_grace is not None:
            await before_grace()
        await (clock or SystemClock()).sleep(grace)


async def _close(runner: web.AppRunner, drain: DrainState) -> None:
    """Closes the listener and idle connections, and waits for all others."""
    for site in tuple(runner.sites):
        await site.stop()
    server = runner.server
    if server is not None:
        # Lets requests that have already been received start.
        await asyncio.sleep(0)
        transports = [connection.transport for connection in server.connections]
        for connection in server.connections:
            if not drain.is_busy(connection):
                connection.force_close()
        await drain.wait_idle()
        # Answers written but not yet sent would be lost with the process.
        while any(_has_unsent(transport) for transport in transports):
            await asyncio.sleep(_FLUSH_POLL_INTERVAL.total_seconds())
    await runner.cleanup()


def _has_unsent(transport: asyncio.Transport | None) -> bool:
    return transport is not None and transport.get_write_buffer_size() > 0


def _open_logger() -> logging.Logger:
    logger = logging.getLogger(__name__)
    logger.addFilter(_shorten_malformed)
    return logger


def _shorten_malformed(record: logging.LogRecord) -> bool:
    """Keeps callers' malformed requests from filling the log with stack traces."""
    error = record.exc_info[1] if record.exc_info else None
    if isinstance(error, HttpProcessingError):
        record.levelno = logging.WARNING
        record.levelname = logging.getLevelName(logging.WARNING)
        record.exc_info = None
        record.msg = f'malformed request: {error.message.splitlines()[0]}'
        record.args = ()
    return True
