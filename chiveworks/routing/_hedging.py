"""Attempts of one request beside each other."""

import asyncio

from chiveworks.base import Verdict
from chiveworks.routing._attempt_end import AttemptEnd
from chiveworks.routing._attempt_error import AttemptError
from chiveworks.routing._response import Response
from chiveworks.routing._attempt_outcome import classify_attempt


async def first_success(
    racing: set['asyncio.Future[Response]'],
) -> Response:
    """Returns the first answer, or raises the most telling failure of all."""
    pending = set(racing)
    error: BaseException | None = None
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for attempt in done:
            problem = attempt.exception()
            if problem is None:
                racing.discard(attempt)
                return attempt.result()
            # An unknown outcome must not be hidden by an attempt that did not run.
            if error is None or not _is_unknown(error):
                error = problem
    raise error or AttemptError(AttemptEnd.ANSWER_TIMEOUT)


def _is_unknown(error: BaseException) -> bool:
    if not isinstance(error, AttemptError):
        return True
    return (
        classify_attempt(error.end, idempotent=True).verdict is Verdict.OUTCOME_UNKNOWN
    )


async def discard(racing: set['asyncio.Future[Response]']) -> None:
    """Cancels attempts that lost and closes their answers."""
    for attempt in racing:
        attempt.cancel()
    for ended in await asyncio.gather(*racing, return_exceptions=True):
        if isinstance(ended, Response) and ended.rest is not None:
            await ended.rest.aclose()
