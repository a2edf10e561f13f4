"""Verdicts on HTTP requests that failed or were rejected."""

from typing import Final

from result import Err, Ok, Result

from chiveworks.base._failure import Failure
from chiveworks.base._http_response import HttpResponse
from chiveworks.base._step import Step
from chiveworks.base._verdict import Verdict

#: Statuses with which the platform rejects a request before it has any effect.
_REJECTED_STATUSES: Final = frozenset((429, 503))
_CLIENT_ERROR: Final = 400
_SERVER_ERROR: Final = 500


def request_failure(step: Step, peer: str, message: str, *, writes: bool) -> Failure:
    """Returns the failure of a request that may have been sent.

    Args:
        step: Step at which it failed.
        peer: Server.
        message: What happened.
        writes: Whether the request has an effect. A failed read has none.
    """
    verdict = Verdict.OUTCOME_UNKNOWN if writes else Verdict.NOT_RUN
    return Failure(verdict, step, peer, message)


def unusable_response(
    response: HttpResponse, step: Step, peer: str, *, writes: bool
) -> Failure:
    """Returns the failure of a request whose response cannot be used.

    A status from 400 to 499 means that the request had no effect.
    """
    rejected = _CLIENT_ERROR <= response.status < _SERVER_ERROR
    message = f'unusable response with status {response.status}'
    return request_failure(step, peer, message, writes=writes and not rejected)


def check_status(
    response: HttpResponse, step: Step, peer: str, *, writes: bool
) -> Result[HttpResponse, Failure]:
    """Returns the response, or a failure if its status is 429 or 5xx."""
    if response.status in _REJECTED_STATUSES:
        message = f'rejected with status {response.status}'
        return Err(Failure.not_run(step, peer, message))
    if response.status >= _SERVER_ERROR:
        return Err(unusable_response(response, step, peer, writes=writes))
    return Ok(response)
