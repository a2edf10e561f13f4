"""One HTTP/1.1 connection to a server of the platform."""

import asyncio
from typing import Final, cast

import httptools

from chiveworks.base._http_response import HttpResponse

#: Maximum size of a response body. Pages of the store have about 1 MB.
MAX_BODY_BYTES: Final = 16 * 1024 * 1024
_FIRST_FINAL_STATUS: Final = 200
_PARSER_ERRORS: Final = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class ResponseLostError(OSError):
    """The connection ended after a request may have been sent."""


class HttpConnection(asyncio.Protocol):
    """Sends one request at a time and collects its response.

    Attributes:
        released_at: Time of the event loop at which the connection was last released.
        peer_id: Incarnation of the server at the other end; None before it is known.
    """

    def __init__(self) -> None:
        self._usable = False
        self.released_at: float = 0
        self.peer_id: int | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[HttpResponse] | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0

    @property
    def idle(self) -> bool:
        """Whether another request can be sent."""
        return self._usable and self._waiter is None

    def send(self, request: bytes) -> 'asyncio.Future[HttpResponse]':
        """Sends an encoded request.

        Returns:
            Future of the response; it fails with `ResponseLostError` if the connection
            ends before the response is complete.
        """
        waiter: asyncio.Future[HttpResponse] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiter = waiter
        self._body = []
        self._body_bytes = 0
        if self._transport is None:
            self._fail('the connection is closed')
        else:
            self._transport.write(request)
        return waiter

    def close(self, reason: str = 'the connection was closed') -> None:
        """Closes the connection at once; a pending response fails."""
        self._fail(reason)
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accepts the transport; called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)
        self._usable = True

    def data_received(self, received: bytes) -> None:
        """Parses received bytes; called by the event loop."""
        if self._waiter is None:
            self.close()
            return
        try:
            self._parser.feed_data(received)
        except _PARSER_ERRORS as error:
            self.close(f'the response is not HTTP: {error!r}')

    def connection_lost(self, error: Exception | None) -> None:
        """Fails a pending response; called by the event loop."""
        self._transport = None
        self._fail(str(error) if error else 'the server closed the connection')

    def on_body(self, part: bytes) -> None:
        """Collects a part of the body; called by the parser."""
        self._body_bytes += len(part)
        if self._body_bytes > MAX_BODY_BYTES:
            self.close(f'the response has more than {MAX_BODY_BYTES} bytes')
        else:
            self._body.append(part)

    def on_message_complete(self) -> None:
        """Completes the pending response; called by the parser."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            return
        waiter = self._waiter
        self._waiter = None
        self._usable = self._usable and self._parser.should_keep_alive()
        if waiter is not None and not waiter.done():
            waiter.set_result(HttpResponse(status, b''.join(self._body)))

    def _fail(self, reason: str) -> None:
        self._usable = False
        waiter = self._waiter
        self._waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_exception(ResponseLostError(reason))
