"""Limits the size of a request's headers."""

from http import HTTPStatus

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from chiveworks.base import Failure, Step
from chiveworks.entry._rejection import Rejection

#: Colon, space and line end around a name and its value.
_SEPARATOR_BYTES = 4


def limit_headers(limit_bytes: int) -> Middleware:
    """Returns a middleware that answers 431 above `limit_bytes` of headers."""

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
            f'the headers have {size_bytes} bytes, at most {limit_bytes} are allowed',
        )
        status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        return Rejection(status, failure).to_response()

    return check
