"""Concurrent attempts of a hedged request."""

import asyncio

from chiveworks.base import Verdict
from chiveworks.routing._attempt_end import AttemptEnd
from chiveworks.routing._attempt_error import AttemptError
from chiveworks.routing._attempt_outcome import classify_attempt
from chiveworks.routing._response import Response


async def first_success(
    attempts: set['asyncio.Future[Response]'],
) -> Response:
    """Returns the first response and removes its attempt from `attempts`.

    Raises:
        AttemptError: All attempts failed; a failure with an unknown outcome takes
            precedence.
    """
    pending = set(attempts)
    error: BaseException | None = None
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for attempt in done:
            problem = attempt.exception()
            if problem is None:
                attempts.discard(attempt)
                return attempt.result()
            # An attempt that did not run must not hide an unknown outcome.
            if error is None or not _is_unknown(error):
                error = problem
    raise error or AttemptError(AttemptEnd.ANSWER_TIMEOUT)


def _is_unknown(error: BaseException) -> bool:
    if not isinstance(error, AttemptError):
        return True
    return (
        classify_attempt(error.end, idempotent=True).verdict is Verdict.OUTCOME_UNKNOWN
    )


async def discard(attempts: set['asyncio.Future[Response]']) -> None:
    """Cancels the remaining attempts and closes their responses."""
    for attempt in attempts:
        attempt.cancel()
    for ended in await asyncio.gather(*attempts, return_exceptions=True):
        if isinstance(ended, Response) and ended.rest is not None:
            await ended.rest.aclose()
