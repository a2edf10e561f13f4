"""Limits the total size of the request headers."""

from http import HTTPStatus

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from chiveworks.base import Failure, Step
from chiveworks.entry._rejection import Rejection

#: The colon, the space and CRLF of a header line.
_SEPARATOR_BYTES = 4


def limit_headers(limit_bytes: int) -> Middleware:
    """Returns a middleware that responds 431 to headers above `limit_bytes`."""

    @web.middleware
    async def check(request: web.Request, handler: Handler) -> web.StreamResponse:
        size_bytes = sum(
            len(name) + len(content) + _SEPARATOR_BYTES
            for name, content in request.raw_headers
        )
        if size_bytes <= limit_bytes:
            return await handler(request)
        failure = Failure.not_run(
            Step.VALIDATE,
            '',
            f'the headers have {size_bytes} bytes; the limit is {limit_bytes} bytes',
        )
        status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        return Rejection(status, failure).to_response()

    return check
