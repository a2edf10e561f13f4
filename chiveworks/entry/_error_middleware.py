"""Turns errors raised in handlers into answers in the common shape."""

import logging
from http import HTTPStatus

from aiohttp import web
from aiohttp.typedefs import Handler

from chiveworks.base import Failure, Step
from chiveworks.entry._rejection import Rejection

_LOG = logging.getLogger(__name__)


@web.middleware
async def convert_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Answers every error as JSON; a stack trace goes to the log only."""
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
        # The caller has gone; nobody reads the answer.
        raise
    except Exception:
        _LOG.exception('handler of %s %s failed', request.method, request.path)
        failure = Failure.unknown(
            Step.WAIT, '', 'the process met an internal error', 'see its log'
        )
        return Rejection(HTTPStatus.INTERNAL_SERVER_ERROR, failure).to_response()
