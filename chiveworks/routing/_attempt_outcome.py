"""Classification of failed attempts."""

from dataclasses import dataclass
from types import MappingProxyType

from chiveworks.base import Step, Verdict
from chiveworks.routing._attempt_end import AttemptEnd


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """Consequences of a failed attempt.

    Attributes:
        verdict: Whether the request may have run.
        step: Step at which it failed.
        may_retry: Whether the request may be sent again.
        message: Description of the failure.
    """

    verdict: Verdict
    step: Step
    may_retry: bool
    message: str


_NOT_RUN = Verdict.NOT_RUN
_UNKNOWN = Verdict.OUTCOME_UNKNOWN

#: Verdict, step and message of each kind of failure. Only in the first three cases is
#: it certain that the request did not run: no connection was made, or the endpoint
#: said so.
_TABLE = MappingProxyType(
    {
        AttemptEnd.CONNECT_FAILED: (_NOT_RUN, Step.CONNECT, 'could not connect'),
        AttemptEnd.CONNECT_TIMEOUT: (_NOT_RUN, Step.CONNECT, 'connection timed out'),
        AttemptEnd.REFUSED: (_NOT_RUN, Step.WAIT, 'request refused before it ran'),
        AttemptEnd.SEND_FAILED: (_UNKNOWN, Step.SEND, 'sending the request failed'),
        AttemptEnd.ANSWER_TIMEOUT: (_UNKNOWN, Step.WAIT, 'no response in time'),
        AttemptEnd.DISCONNECTED: (
            _UNKNOWN,
            Step.WAIT,
            'connection closed without a response',
        ),
        AttemptEnd.WRONG_REQUEST_ID: (
            _UNKNOWN,
            Step.READ,
            'the response has a different request id',
        ),
        AttemptEnd.MALFORMED_ANSWER: (_UNKNOWN, Step.READ, 'the response is malformed'),
        AttemptEnd.TRUNCATED: (_UNKNOWN, Step.READ, 'the response is incomplete'),
        AttemptEnd.READ_TIMEOUT: (
            _UNKNOWN,
            Step.READ,
            'timed out while reading the response',
        ),
    }
)


def classify_attempt(end: AttemptEnd, idempotent: bool) -> AttemptOutcome:
    """Returns the outcome of a failed attempt and whether a retry is allowed."""
    verdict, step, message = _TABLE[end]
    return AttemptOutcome(verdict, step, verdict is _NOT_RUN or idempotent, message)
