"""A single request to one endpoint and its response."""

import asyncio
from contextlib import suppress

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from chiveworks.base import Clock
from chiveworks.routing._attempt_end import AttemptEnd
from chiveworks.routing._attempt_error import AttemptError
from chiveworks.routing._headers import (
    DEADLINE_MS,
    LEAVING,
    NOT_RUN,
    REQUEST_ID,
    end_to_end,
)
from chiveworks.routing._lease import Lease
from chiveworks.routing._request import Request
from chiveworks.routing._response import Response
from chiveworks.routing._response_stream import ResponseStream
from chiveworks.routing._settings import RoutingSettings

#: Maximum share of an attempt's time for connecting. The connect timeout must expire
#: before the attempt does, since only then is it certain that nothing was sent.
_CONNECT_SHARE = 0.8
#: Maximum declared body length of a refusal that is read to reuse the connection.
_MAX_DRAINED_BYTES = 65536
_NO_BODY_STATUSES = frozenset((204, 304))


class Exchange:
    """Sends a request on a leased session and validates the response.

    Args:
        request: The request.
        lease: Lease of the endpoint's slot and session.
        clock: Source of time.
        settings: Parameters of routing.
    """

    def __init__(
        self, request: Request, lease: Lease, clock: Clock, settings: RoutingSettings
    ) -> None:
        self._request = request
        self._lease = lease
        self._clock = clock
        self._settings = settings
        self._response: aiohttp.ClientResponse | None = None

    async def run(self, limit_s: float) -> Response:
        """Returns the response; the remaining body of a large one is streamed.

        Args:
            limit_s: Seconds until the response must be complete or, if it is streamed,
                its first part.

        Raises:
            AttemptError: The attempt failed. Its connection is closed unless the whole
                response was read, for example a refusal.
        """
        streamed = False
        try:
            async with asyncio.timeout(limit_s):
                response = await self._run(limit_s)
            streamed = response.rest is not None
        except TimeoutError as error:
            has_response = self._response is not None
            end = AttemptEnd.READ_TIMEOUT if has_response else AttemptEnd.ANSWER_TIMEOUT
            raise AttemptError(end) from error
        except (aiohttp.ClientError, OSError) as error:
            raise AttemptError(AttemptEnd.TRUNCATED, str(error)) from error
        finally:
            if not streamed:
                self._finish()
        return response

    def _finish(self) -> None:
        if self._response is not None:
            # Closes the connection unless the response was read completely.
            self._response.close()
        self._lease.release()

    async def _run(self, limit_s: float) -> Response:
        response = await self._send(limit_s)
        self._response = response
        await self._check(response)
        body, complete = await self._read_start(response)
        if complete:
            response.release()
        peer = self._lease.endpoint.instance.instance_id
        rest = (
            None if complete else ResponseStream(response, self._lease, self._time_left)
        )
        headers = end_to_end(response.headers)
        length = response.content_length
        return Response(response.status, headers, peer, body, rest, length)

    async def _send(self, limit_s: float) -> aiohttp.ClientResponse:
        request = self._request
        instance = self._lease.endpoint.instance
        base = instance.serve_url.rstrip('/')
        url = URL(f'{base}/serve/{request.service}/{request.target}', encoded=True)
        connect_s = min(
            self._settings.connect_timeout.total_seconds(), limit_s * _CONNECT_SHARE
        )
        headers = CIMultiDict(request.headers)
        headers[REQUEST_ID] = request.request_id
        headers[DEADLINE_MS] = str(max(int(self._time_left() * 1000), 0))
        return await self._lease.session.request(
            request.method,
            url,
            headers=headers,
            data=request.body or None,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=None, connect=connect_s),
        )

    async def _check(self, response: aiohttp.ClientResponse) -> None:
        """Validates the headers and records that the endpoint announced its leave."""
        if response.headers.get(REQUEST_ID) != self._request.request_id:
            raise AttemptError(AttemptEnd.WRONG_REQUEST_ID)
        if LEAVING in response.headers:
            self._lease.endpoint.leaving = True
        if response.status == 503 and NOT_RUN in response.headers:
            await _drain_small(response)
            raise AttemptError(AttemptEnd.REFUSED, response.headers[NOT_RUN])
        if self._has_body(response) and not _declares_length(response):
            # Without a length, a truncated body looks like a complete one.
            raise AttemptError(
                AttemptEnd.MALFORMED_ANSWER, 'the response declares no body length'
            )

    def _has_body(self, response: aiohttp.ClientResponse) -> bool:
        head = self._request.method == 'HEAD'
        return not head and response.status not in _NO_BODY_STATUSES

    async def _read_start(self, response: aiohttp.ClientResponse) -> tuple[bytes, bool]:
        """Returns the first part of the body and whether it is the complete body."""
        if not self._has_body(response):
            return b'', True
        limit = self._settings.buffer_bytes
        if response.content.is_eof() and response.content.total_bytes <= limit:
            # The common case: the whole body arrived with the headers.
            return response.content.read_nowait(), True
        parts: list[bytes] = []
        size = 0
        while size <= limit:
            part = await response.content.readany()
            if not part:
                return b''.join(parts), True
            parts.append(part)
            size += len(part)
        return b''.join(parts), False

    def _time_left(self) -> float:
        return (self._request.deadline - self._clock.monotonic()).total_seconds()


def _declares_length(response: aiohttp.ClientResponse) -> bool:
    encoding = response.headers.get('Transfer-Encoding', '')
    return 'Content-Length' in response.headers or 'chunked' in encoding.lower()


async def _drain_small(response: aiohttp.ClientResponse) -> None:
    """Reads the body unless it is declared long, so the connection can be reused."""
    if (response.content_length or 0) <= _MAX_DRAINED_BYTES:
        with suppress(aiohttp.ClientError, OSError):
            await response.read()
