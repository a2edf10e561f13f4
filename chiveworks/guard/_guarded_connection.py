"""A client's connection that is kept within the limits of a guard."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final

from aiohttp import HttpVersion11, StreamReader, web
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong

from chiveworks.guard._body_refusal import BodyRefusal
from chiveworks.guard._connection_phase import ConnectionPhase
from chiveworks.guard._turn_away_reason import TurnAwayReason

if TYPE_CHECKING:
    from chiveworks.guard._guarded_server import GuardedServer

#: Unread part of a body above which a connection is not read; the parser also stops
#: after a sixteenth as many chunks, so that chunks of one byte do not hold the loop.
READ_BUFFER_BYTES: Final = 8192
#: Response bytes above which a connection's next request waits for the client to read.
WRITE_BUFFER_BYTES: Final = 32_768
#: Requests that are parsed while an earlier one of the connection is served.
_QUEUED_REQUESTS: Final = 2
#: Time in which a refused client may read the response. Closing at once with unread
#: bytes would reset the connection, and the client could lose the response.
_CLOSE_GRACE_S: Final = 1.0
#: Memory of a complete body while it is decoded and stored, as a multiple of its size,
#: less the body itself.
_DECODED_FACTOR: Final = 3
#: Chunk overhead that is not charged, as a part of the body and in bytes.
_FREE_OVERHEAD_SHARE: Final = 4
_FREE_OVERHEAD_BYTES: Final = 1024
_CONTINUE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_HEADER_TOO_LARGE: Final = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
_TOO_MANY_CONNECTIONS: Final = (
    b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
#: The colon, the space and CRLF of a header line.
_SEPARATOR_BYTES: Final = 4


class _BodyDroppedError(Exception):
    """Ends the wait for a body that the guard has dropped."""

    def __init__(self, reason: TurnAwayReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class GuardedConnection(web.RequestHandler):
    """Tells the guard what the connection waits for, and does what it decides.

    Args:
        server: Server with the guard and the limits.
        loop: Event loop.
    """

    __slots__ = (
        '_body',
        '_body_bytes',
        '_closing',
        '_guarded',
        '_header_bytes',
        '_next_header_bytes',
        '_received_bytes',
        '_trailer_bytes',
        'turned_away',
    )

    def __init__(
        self, server: 'GuardedServer', loop: asyncio.AbstractEventLoop
    ) -> None:
        header_bytes = server.limits().header_bytes
        super().__init__(
            server,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            max_line_size=header_bytes,
            max_field_size=header_bytes,
            # An unread rest of a body is not received.
            lingering_time=0,
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=server.decompresses,
            logger=server.logger,
        )
        self._max_msg_queue_size = _QUEUED_REQUESTS
        self._msg_queue_resume_size = _QUEUED_REQUESTS // 2
        self._guarded = server
        self._body: web.BaseRequest | None = None
        self._closing: asyncio.Transport | None = None
        self._header_bytes = 0
        self._next_header_bytes = 0
        self._received_bytes = 0
        self._body_bytes = 0
        self._trailer_bytes = 0
        #: Whether the guard has refused a request on this connection.
        self.turned_away = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Adds the connection, or refuses it at the limit of connections."""
        super().connection_made(transport)
        if self.transport is None:
            return
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if not self._guarded.admit(self):
            self.transport.write(_TOO_MANY_CONNECTIONS)
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Removes the connection, but a request that is served stays charged."""
        if not self._request_in_progress:
            self._guarded.guard.close(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and notes whether a header section is unfinished."""
        if self.turned_away:
            return
        self._received_bytes += len(data)
        parsed = self._request_count
        super().data_received(data)
        self._limit_fields(len(data), is_same=parsed == self._request_count)
        phase = self._guarded.guard.phase(self)
        if phase is ConnectionPhase.IDLE or phase is ConnectionPhase.HEADER:
            self._header_bytes += len(data)
            if self._messages:
                self._enter(ConnectionPhase.SERVING)
            elif self._header_bytes > self._guarded.limits().header_bytes:
                self._refuse_header()
            elif phase is ConnectionPhase.IDLE and data:
                self._enter(ConnectionPhase.HEADER)

    def pause_writing(self) -> None:
        """Notes that the client does not read its response."""
        super().pause_writing()
        self._enter_unless_closing(ConnectionPhase.RESPONSE)

    def resume_writing(self) -> None:
        """Notes that the client reads its response."""
        super().resume_writing()
        self._enter_unless_closing(ConnectionPhase.SERVING)

    def has_large_header(self, request: web.BaseRequest) -> bool:
        """Returns whether a request's header section is above the limit."""
        limit = self._guarded.limits().header_bytes
        if self._header_bytes <= limit:
            return False
        lines = request.raw_headers
        size = sum(len(name) + len(text) + _SEPARATOR_BYTES for name, text in lines)
        return size + len(request.raw_path) > limit

    async def read_body(self, request: web.BaseRequest) -> bytes | BodyRefusal:
        """Reads a body within the limits and the guard's budget."""
        limit = self._guarded.limits().body_bytes
        if (request.content_length or 0) > limit:
            return self.refuse(TurnAwayReason.BODY_TOO_LARGE)
        content = request.content
        if content.is_eof() and request.content_length is not None:
            return self._take(content.read_nowait(), limit)
        if self._close and not content.is_eof():
            # The stop has begun, and nothing more is received.
            return self.refuse(TurnAwayReason.STOPPING)
        self._body = request
        self._body_bytes = 0
        self._trailer_bytes = 0
        self._enter(ConnectionPhase.BODY)
        if _awaits_permission(request) and not content.is_eof():
            await request.writer.write(_CONTINUE)
            request.writer.output_size = 0
        try:
            received = await self._receive(request, limit)
        except _BodyDroppedError as dropped:
            return BodyRefusal(dropped.reason)
        except web.RequestPayloadError:
            return self.refuse(TurnAwayReason.MALFORMED)
        except ConnectionError:
            self._note(TurnAwayReason.DISCONNECTED)
            raise
        finally:
            self._body = None
        if isinstance(received, TurnAwayReason):
            return self.refuse(received)
        self._enter_unless_closing(ConnectionPhase.SERVING)
        return received

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Writes a response, and closes a connection with an unread body."""
        if self.writing_paused:
            # The client has not read the interim response.
            self._enter_unless_closing(ConnectionPhase.RESPONSE)
        finished = await super().finish_response(request, resp, start_time)
        self._guarded.guard.release(self)
        if self.turned_away or not request.content.is_eof():
            self._close_after_reading()
        elif not self._messages:
            self._header_bytes = 0
            self._enter_unless_closing(ConnectionPhase.IDLE)
        return finished

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        """Serves a request, and removes a connection whose client has left."""
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            if self._manager is None:
                self._guarded.guard.close(self)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the response to a request that failed, and logs unexpected errors."""
        if isinstance(exc, ConnectionError) and self.turned_away:
            # The client has left during its body and was counted.
            return web.Response(status=status)
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        reason = TurnAwayReason.MALFORMED
        if isinstance(exc, LineTooLong) or 'Too many headers' in exc.message:
            status, reason = 431, TurnAwayReason.HEADER_TOO_LARGE
        self._note(reason)
        # The message of the error contains what the client sent.
        self._guarded.report_unreadable(type(exc).__name__)
        response = web.Response(status=status)
        response.force_close()
        return response

    def refuse(self, reason: TurnAwayReason) -> BodyRefusal:
        """Counts a refused request; the connection is closed after its response."""
        self._note(reason)
        return BodyRefusal(reason)

    def drop(self, reason: TurnAwayReason) -> None:
        """Refuses the request whose body is awaited, or closes the connection."""
        if self._closing is not None:
            # It was counted when it was refused.
            self._closing.abort()
            return
        self._note(reason)
        if self._body is not None:
            self._body.content.set_exception(_BodyDroppedError(reason))
            # The end of a chunk may have woken the reader, which would wait again.
            self._body.content.feed_eof()
        if self._guarded.guard.phase(self) is None and self.transport is not None:
            self.transport.abort()

    def _take(self, body: bytes, limit: int) -> bytes | BodyRefusal:
        """Charges for a body that arrived with its header, usually in one packet."""
        # It may have been compressed.
        if len(body) > limit:
            return self.refuse(TurnAwayReason.BODY_TOO_LARGE)
        if self._guarded.hold(self, len(body) * (1 + _DECODED_FACTOR)):
            return body
        return self.refuse(TurnAwayReason.MEMORY)

    async def _receive(
        self, request: web.BaseRequest, limit: int
    ) -> bytes | TurnAwayReason:
        """Reads a body part by part; returns why it is refused otherwise."""
        content = request.content
        parts: list[bytes] = []
        size, charged = 0, 0
        before = self._received_bytes
        while part := await content.readany():
            parts.append(part)
            size += len(part)
            if size > limit:
                return TurnAwayReason.BODY_TOO_LARGE
            if not self._guarded.hold(self, len(part)):
                return TurnAwayReason.MEMORY
            overhead = self._received_bytes - before - size - _free_overhead(size)
            if request.content_length is None and overhead > charged:
                if not self._guarded.allow_overhead(overhead - charged):
                    return TurnAwayReason.SMALL_CHUNKS
                charged = overhead
        _raise_failure(content)
        if size and not self._guarded.hold(self, size * _DECODED_FACTOR):
            return TurnAwayReason.MEMORY
        return parts[0] if len(parts) == 1 else b''.join(parts)

    def _limit_fields(self, received: int, *, is_same: bool) -> None:
        """Bounds the fields that the parser keeps besides the first header section."""
        if self._body is not None and not self._body.content.is_eof():
            self._limit_trailers(self._body.content.total_bytes, received)
        else:
            self._limit_next_header(received, is_same=is_same)

    def _limit_trailers(self, body_bytes: int, received: int) -> None:
        """Refuses a body behind which more than a header section arrives.

        The parser keeps trailer fields until the end of the request.
        """
        if body_bytes > self._body_bytes:
            self._body_bytes = body_bytes
            self._trailer_bytes = 0
            return
        self._trailer_bytes += received
        if self._trailer_bytes > self._guarded.limits().header_bytes:
            self.drop(TurnAwayReason.HEADER_TOO_LARGE)

    def _limit_next_header(self, received: int, *, is_same: bool) -> None:
        """Serves no further request if a large header section follows this one."""
        request = self._current_request
        if not is_same or request is None:
            self._next_header_bytes = 0
            return
        last = self._messages[-1][1] if self._messages else request.content
        if last.is_eof():
            self._next_header_bytes += received
            if self._next_header_bytes > self._guarded.limits().header_bytes:
                self._note(TurnAwayReason.HEADER_TOO_LARGE)

    def _refuse_header(self) -> None:
        self._note(TurnAwayReason.HEADER_TOO_LARGE)
        if self.transport is not None:
            self.transport.write(_HEADER_TOO_LARGE)
            self._close_after_reading()
        self.close()

    def _close_after_reading(self) -> None:
        """Ends the response, and closes after the client could read it."""
        transport = self.transport
        self._force_close = True
        self.turned_away = True
        if transport is None:
            return
        self._closing = transport
        # Keeps aiohttp from closing it at once.
        self.transport = None
        try:
            transport.pause_reading()
            transport.write_eof()
        except RuntimeError as error:
            self.logger.debug('the client has closed its connection: %s', error)
            transport.abort()
            return
        self._enter(ConnectionPhase.CLOSING)
        self._loop.call_later(_CLOSE_GRACE_S, transport.abort)

    def _enter(self, phase: ConnectionPhase) -> None:
        self._guarded.guard.enter(self, phase, self._guarded.now())

    def _enter_unless_closing(self, phase: ConnectionPhase) -> None:
        if self._guarded.guard.phase(self) is not ConnectionPhase.CLOSING:
            self._enter(phase)

    def _note(self, reason: TurnAwayReason) -> None:
        self.turned_away = True
        self._guarded.counts.add(reason)


def _raise_failure(content: StreamReader) -> None:
    """Raises the error of a body that was ended by one."""
    error = content.exception()
    if error is not None:
        raise error


def _free_overhead(size: int) -> int:
    return size // _FREE_OVERHEAD_SHARE + _FREE_OVERHEAD_BYTES


def _awaits_permission(request: web.BaseRequest) -> bool:
    expected = request.headers.get('Expect', '')
    return expected.lower() == '100-continue' and request.version >= HttpVersion11


async def read_body(request: web.BaseRequest) -> bytes | BodyRefusal:
    """Reads the body of a request, within the limits if its server has any."""
    connection = request.protocol
    if isinstance(connection, GuardedConnection):
        return await connection.read_body(request)
    return await request.read()


def was_turned_away(request: web.BaseRequest) -> bool:
    """Returns whether a guard has refused the request, and counts it."""
    connection = request.protocol
    return isinstance(connection, GuardedConnection) and connection.turned_away
