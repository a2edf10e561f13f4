"""An error answer to a request."""

import json
from dataclasses import dataclass

from aiohttp import web

from chiveworks.base import Failure

#: Seconds after which a caller that was refused may try again.
RETRY_AFTER_S = '1'


@dataclass(frozen=True, slots=True)
class Rejection:
    """A failure with the HTTP status to report it by.

    Attributes:
        status: HTTP status.
        failure: What happened.
        reason: Short code for programs; may be empty.
        first: What is known of an earlier request with the same key.
    """

    status: int
    failure: Failure
    reason: str = ''
    first: dict[str, str | int] | None = None

    def to_response(self) -> web.Response:
        """Returns the answer, with a JSON body (design.md, section 6)."""
        failure = self.failure
        error: dict[str, object] = {
            'verdict': failure.verdict.value,
            'step': failure.step.value,
            'peer': failure.peer,
            'message': failure.message,
            'next_step': failure.next_step,
        }
        if self.reason:
            error['reason'] = self.reason
        if self.first is not None:
            error['first'] = self.first
        response = web.Response(
            status=self.status,
            body=json.dumps({'error': error}).encode(),
            content_type='application/json',
        )
        if self.status in {429, 503}:
            response.headers['Retry-After'] = RETRY_AFTER_S
        return response
