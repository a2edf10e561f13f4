"""Responses to clients."""

import json
from typing import Final

from aiohttp import web

from chiveworks.accounts import KeyRefusal
from chiveworks.intake import IntakeVerdict

#: Time after which the client of a job that never runs under its id should come back at
#: the earliest. Larger workers are added by operators, which takes minutes.
UNSERVABLE_RETRY_S: Final = 120


def json_response(fields: dict[str, object]) -> web.Response:
    """Answers a call that was served."""
    return web.Response(
        body=json.dumps(fields).encode(), content_type='application/json'
    )


def error_response(status: int, reason: str, *, closes: bool = False) -> web.Response:
    """Answers a call that was not served, and may close its connection."""
    response = web.json_response({'error': reason}, status=status)
    if closes:
        response.force_close()
    return response


def final_refusal(reason: str) -> web.Response:
    """Answers a submission of a job that never runs under its id."""
    # The protocol has no other status for a job that is not accepted and never runs.
    response = error_response(503, f'not run: {reason}')
    response.headers['Retry-After'] = str(UNSERVABLE_RETRY_S)
    return response


def key_refusal(reason: KeyRefusal) -> web.Response:
    """Answers a call that was refused by its key, with no effect."""
    if reason is KeyRefusal.UNCONFIRMED:
        return error_response(503, 'not run: the keys are not known to be current')
    message = 'there is no key' if reason is KeyRefusal.MISSING else 'unknown key'
    response = error_response(401, f'not run: {message}')
    response.headers['WWW-Authenticate'] = 'Bearer'
    return response


def verdict_response(verdict: IntakeVerdict) -> web.Response:
    """Answers a call according to its outcome."""
    if verdict is IntakeVerdict.ACCEPTED:
        return json_response({})
    if verdict is IntakeVerdict.NOT_FOUND:
        return error_response(410, 'there is no such job')
    if verdict is IntakeVerdict.FOREIGN:
        return error_response(403, 'not run: the job belongs to another account')
    if verdict is IntakeVerdict.REFUSED:
        return error_response(503, 'not run: the store is not available')
    if verdict is IntakeVerdict.THROTTLED:
        return error_response(429, 'not run: too many unknown jobs are cancelled')
    if verdict is IntakeVerdict.UNREADABLE:
        return error_response(500, 'not run: the stored record cannot be read')
    return error_response(504, 'outcome unknown: the store did not answer')
