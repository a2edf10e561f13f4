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

#: Time for idle connections to close; all requests have finished by then.
_CLOSE_TIMEOUT = timedelta(seconds=1)
#: Longer than the usual idle timeout of load balancers, so that the balancer closes
#: first and never sends a request on a connection that this server is closing.
_KEEPALIVE_TIMEOUT = timedelta(seconds=75)
_FLUSH_POLL_INTERVAL = timedelta(milliseconds=20)
_NO_GRACE = timedelta()

ShutdownHook = Callable[[], Awaitable[None]]


class DrainState:
    """Tracks whether the process is shutting down and its requests in progress."""

    def __init__(self) -> None:
        self._draining = False
        self._requests_by_connection: Counter[web.RequestHandler] = Counter()
        self._request_ended = asyncio.Event()

    @property
    def is_draining(self) -> bool:
        """Whether a graceful shutdown has begun; the process is then not ready."""
        return self._draining

    @property
    def in_progress(self) -> int:
        """Number of requests whose responses have not been written completely."""
        return self._requests_by_connection.total()

    def begin(self) -> None:
        """Begins the shutdown; later calls have no effect."""
        self._draining = True

    def is_busy(self, connection: web.RequestHandler) -> bool:
        """Returns whether a request on this connection is in progress."""
        return connection in self._requests_by_connection

    async def wait_idle(self) -> None:
        """Waits, without a time limit, until no request is in progress."""
        while self._requests_by_connection:
            self._request_ended.clear()
            await self._request_ended.wait()

    def install(self, app: web.Application) -> None:
        """Adds the middleware, and the header that closes connections while draining."""
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
                # Sent here instead of by aiohttp, so that the request counts as in
                # progress until the last byte of its response has been written.
                await response.prepare(request)
                await response.write_eof()
            except ConnectionError:
                # The client has disconnected; aiohttp detects this itself.
                return web.Response()
            finally:
                self._requests_by_connection[connection] -= 1
                if not self._requests_by_connection[connection]:
                    self._requests_by_connection.pop(connection)
                self._request_ended.set()
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
    """Serves until `stop_event` is set, then finishes all requests and stops.

    The steps are those of design.md, section 9. The caller closes the resources of
    the handlers (dispatcher, store) after this function has returned.

    Args:
        app: Application; this function calls `drain.install` on it.
        host: Address to listen on.
        port: Port, 0 for any.
        stop_event: Starts the shutdown; setting it again has no effect.
        drain: Shutdown state, shared with the readiness route.
        grace: How long new requests are still accepted, until load balancers have
            noticed that the process is not ready.
        before_grace: Called at the start of the shutdown, when the process is no
            longer ready, for example to notify peers and release the ownership of
            shards.
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
            # Bodies are forwarded unchanged, with their Content-Encoding.
            auto_decompress=False,
            keepalive_timeout=_KEEPALIVE_TIMEOUT.total_seconds(),
            logger=_server_logger(),
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
    """Closes the listener and idle connections, and waits for busy ones."""
    for site in tuple(runner.sites):
        await site.stop()
    server = runner.server
    if server is not None:
        # Lets the handlers of already received requests start.
        await asyncio.sleep(0)
        transports = [connection.transport for connection in server.connections]
        for connection in server.connections:
            if not drain.is_busy(connection):
                connection.force_close()
        await drain.wait_idle()
        # Responses still in the write buffers would be lost when the process exits.
        while any(_has_unsent(transport) for transport in transports):
            await asyncio.sleep(_FLUSH_POLL_INTERVAL.total_seconds())
    await runner.cleanup()


def _has_unsent(transport: asyncio.Transport | None) -> bool:
    return transport is not None and transport.get_write_buffer_size() > 0


def _server_logger() -> logging.Logger:
    logger = logging.getLogger(__name__)
    logger.addFilter(_shorten_malformed)
    return logger


def _shorten_malformed(record: logging.LogRecord) -> bool:
    """Logs a malformed request as a one-line warning instead of a stack trace."""
    error = record.exc_info[1] if record.exc_info else None
    if isinstance(error, HttpProcessingError):
        record.levelno = logging.WARNING
        record.levelname = logging.getLevelName(logging.WARNING)
        record.exc_info = None
        record.msg = f'malformed request: {error.message.splitlines()[0]}'
        record.args = ()
    return True
