"""Verdicts of failed attempts."""

from dataclasses import dataclass
from types import MappingProxyType

from chiveworks.base import Step, Verdict
from chiveworks.routing._attempt_end import AttemptEnd


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """What follows from a failed attempt.

    Attributes:
        verdict: Whether the request may have run.
        step: Step at which it failed.
        may_retry: Whether it may be sent to another endpoint.
        message: What happened.
    """

    verdict: Verdict
    step: Step
    may_retry: bool
    message: str


_NOT_RUN = Verdict.NOT_RUN
_UNKNOWN = Verdict.OUTCOME_UNKNOWN

#: One row for each way to fail. Only the first three happen before a byte of the
#: request may have reached the endpoint's service.
_TABLE = MappingProxyType(
    {
        AttemptEnd.CONNECT_FAILED: (_NOT_RUN, Step.CONNECT, 'could not connect'),
        AttemptEnd.CONNECT_TIMEOUT: (_NOT_RUN, Step.CONNECT, 'connecting timed out'),
        AttemptEnd.REFUSED: (_NOT_RUN, Step.WAIT, 'refused before running'),
        AttemptEnd.SEND_FAILED: (_UNKNOWN, Step.SEND, 'sending the request failed'),
        AttemptEnd.ANSWER_TIMEOUT: (_UNKNOWN, Step.WAIT, 'no answer in time'),
        AttemptEnd.DISCONNECTED: (_UNKNOWN, Step.WAIT, 'connection closed unanswered'),
        AttemptEnd.WRONG_REQUEST_ID: (
            _UNKNOWN,
            Step.READ,
            'the answer carries another request id',
        ),
        AttemptEnd.MALFORMED_ANSWER: (_UNKNOWN, Step.READ, 'the answer is malformed'),
        AttemptEnd.TRUNCATED: (_UNKNOWN, Step.READ, 'the answer is incomplete'),
        AttemptEnd.READ_TIMEOUT: (_UNKNOWN, Step.READ, 'the answer stopped midway'),
    }
)


def classify_attempt(end: AttemptEnd, idempotent: bool) -> AttemptOutcome:
    """Returns the verdict of a failed attempt and whether a retry is allowed."""
    verdict, step, message = _TABLE[end]
    return AttemptOutcome(verdict, step, verdict is _NOT_RUN or idempotent, message)
