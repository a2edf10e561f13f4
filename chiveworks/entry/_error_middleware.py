"""Converts exceptions raised by handlers into JSON error responses."""

import logging
from http import HTTPStatus

from aiohttp import web
from aiohttp.typedefs import Handler

from chiveworks.base import Failure, Step
from chiveworks.entry._rejection import Rejection

_LOG = logging.getLogger(__name__)


@web.middleware
async def convert_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Responds to exceptions with an error in JSON; stack traces are only logged."""
    try:
        return await handler(request)
    except web.HTTPException as error:
        if error.status < HTTPStatus.BAD_REQUEST:
            raise
        failure = Failure.not_run(Step.VALIDATE, '', error.reason)
        response = Rejection(HTTPStatus(error.status), failure).to_response()
        allowed = error.headers.get('Allow')
        if allowed:
            response.headers['Allow'] = allowed
        return response
    except ConnectionError:
        # The client has disconnected; there is nobody to respond to.
        raise
    except Exception:
        _LOG.exception(
            'unhandled exception in the handler of %s %s', request.method, request.path
        )
        failure = Failure.unknown(
            Step.WAIT, '', 'internal error in the entry process', 'see its log'
        )
        return Rejection(HTTPStatus.INTERNAL_SERVER_ERROR, failure).to_response()
