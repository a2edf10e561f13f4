"""Relays responses from endpoints to clients."""

from aiohttp import web

from chiveworks.base import RequestId
from chiveworks.routing import AttemptError, Response

_REQUEST_ID_HEADER = 'X-Request-Id'


async def relay_response(
    request: web.Request, request_id: RequestId, response: Response
) -> web.StreamResponse:
    """Returns the response for the client; streams the body of a large one first."""
    headers = response.headers
    headers[_REQUEST_ID_HEADER] = request_id
    if response.rest is None:
        if request.method == 'HEAD' and response.length is not None:
            headers['Content-Length'] = str(response.length)
        return web.Response(status=response.status, headers=headers, body=response.body)
    streamed = web.StreamResponse(status=response.status, headers=headers)
    streamed.content_length = response.length
    try:
        await streamed.prepare(request)
        await streamed.write(response.body)
        async for part in response.rest:
            await streamed.write(part)
    except (AttemptError, OSError):
        # Aborts the connection before the end of the message, so that the client
        # does not take the truncated response for a complete one.
        if request.transport is not None:
            request.transport.abort()
    finally:
        await response.rest.aclose()
    return streamed
