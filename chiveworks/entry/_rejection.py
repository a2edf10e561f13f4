"""Error response to a request."""

import json
from dataclasses import dataclass

from aiohttp import web

from chiveworks.base import Failure

#: Value of the Retry-After header of 429 and 503 responses, in seconds.
RETRY_AFTER_S = '1'


@dataclass(frozen=True, slots=True)
class Rejection:
    """A failure and its HTTP status.

    Attributes:
        status: HTTP status.
        failure: Description of the failure.
        reason: Machine-readable code; may be empty.
        first: Known state of the earlier request with the same idempotency key.
    """

    status: int
    failure: Failure
    reason: str = ''
    first: dict[str, str | int] | None = None

    def to_response(self) -> web.Response:
        """Returns the response, with a JSON body (design.md, section 6)."""
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
