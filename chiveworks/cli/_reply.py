"""An entry process's answer to a command."""

from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

from chiveworks.base import Failure, Step, Verdict
from chiveworks.cli._exit_code import ExitCode

_BY_STATUS: Final = MappingProxyType(
    {
        HTTPStatus.BAD_REQUEST: ExitCode.INVALID,
        HTTPStatus.NOT_FOUND: ExitCode.NOT_FOUND,
        HTTPStatus.CONFLICT: ExitCode.CONFLICT,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ExitCode.INVALID,
        HTTPStatus.UNPROCESSABLE_ENTITY: ExitCode.INVALID,
    }
)


@dataclass(frozen=True, slots=True)
class Reply:
    """Status and body of an answer, or why there was none.

    Attributes:
        status: HTTP status; None without an answer of an entry process.
        body: The JSON object of the answer.
        failure: What went wrong; None after success.
    """

    status: int | None
    body: dict[str, Any]
    failure: Failure | None = None

    @classmethod
    def answered(cls, status: int, body: Any, peer: str, *, reads: bool) -> 'Reply':
        """Judges an answer.

        Args:
            status: HTTP status.
            body: Decoded body; None when it was not JSON.
            peer: URL of the server.
            reads: The request changes nothing, so it cannot have had an effect.
        """
        fields = body if isinstance(body, dict) else {}
        if status < HTTPStatus.MULTIPLE_CHOICES and isinstance(body, dict):
            return cls(status, fields)
        error = fields.get('error')
        if isinstance(error, dict):
            return cls(status, fields, _stated_failure(error, peer, reads=reads))
        # No entry process answers like this; a balancer may.
        refused = HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR
        verdict = Verdict.NOT_RUN if reads or refused else Verdict.OUTCOME_UNKNOWN
        message = f'answer {status} is not one of an entry process'
        advice = 'check the address given by --server or CHIVEWORKS_SERVER'
        return cls(None, fields, Failure(verdict, Step.READ, peer, message, advice))

    @property
    def exit_code(self) -> ExitCode:
        """The exit code that tells what is known."""
        if self.failure is None:
            return ExitCode.OK
        if self.failure.verdict is Verdict.OUTCOME_UNKNOWN:
            return ExitCode.OUTCOME_UNKNOWN
        if self.status is not None and self.status in _BY_STATUS:
            return _BY_STATUS[HTTPStatus(self.status)]
        return ExitCode.NOT_RUN


def _stated_failure(error: dict[str, Any], peer: str, *, reads: bool) -> Failure:
    unknown = error.get('verdict') != Verdict.NOT_RUN.value and not reads
    try:
        step = Step(error.get('step', ''))
    except ValueError:
        step = Step.READ
    return Failure(
        Verdict.OUTCOME_UNKNOWN if unknown else Verdict.NOT_RUN,
        step,
        str(error.get('peer') or peer),
        str(error.get('message', 'no reason was given')),
        str(error.get('next_step', '')),
    )
