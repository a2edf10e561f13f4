"""Reply of an entry process to a command."""

from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

from chiveworks.base import Failure, Step, Verdict
from chiveworks.cli._exit_code import ExitCode

_EXIT_CODES_BY_STATUS: Final = MappingProxyType(
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
    """Status and body of a response, or the failure to get one.

    Attributes:
        status: HTTP status; None without a response of an entry process.
        body: JSON object of the response.
        failure: What went wrong; None on success.
    """

    status: int | None
    body: dict[str, Any]
    failure: Failure | None = None

    @classmethod
    def from_response(
        cls, status: int, body: Any, peer: str, *, read_only: bool
    ) -> 'Reply':
        """Interprets a response.

        Args:
            status: HTTP status.
            body: Decoded body; None if it was not JSON.
            peer: URL of the server.
            read_only: Whether the request changes nothing, so that its failure
                always counts as not run.
        """
        fields = body if isinstance(body, dict) else {}
        if status < HTTPStatus.MULTIPLE_CHOICES and isinstance(body, dict):
            return cls(status, fields)
        error = fields.get('error')
        if isinstance(error, dict):
            return cls(status, fields, _parse_failure(error, peer, read_only=read_only))
        # Not a response of an entry process; perhaps of a load balancer.
        refused = HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR
        verdict = Verdict.NOT_RUN if read_only or refused else Verdict.OUTCOME_UNKNOWN
        message = f'response with status {status} is not from an entry process'
        next_step = 'check the address given by --server or CHIVEWORKS_SERVER'
        return cls(None, fields, Failure(verdict, Step.READ, peer, message, next_step))

    @property
    def exit_code(self) -> ExitCode:
        """Exit code for the status and the failure."""
        if self.failure is None:
            return ExitCode.OK
        if self.failure.verdict is Verdict.OUTCOME_UNKNOWN:
            return ExitCode.OUTCOME_UNKNOWN
        if self.status is not None and self.status in _EXIT_CODES_BY_STATUS:
            return _EXIT_CODES_BY_STATUS[HTTPStatus(self.status)]
        return ExitCode.NOT_RUN


def _parse_failure(error: dict[str, Any], peer: str, *, read_only: bool) -> Failure:
    unknown = error.get('verdict') != Verdict.NOT_RUN.value and not read_only
    try:
        step = Step(error.get('step', ''))
    except ValueError:
        step = Step.READ
    return Failure(
        Verdict.OUTCOME_UNKNOWN if unknown else Verdict.NOT_RUN,
        step,
        str(error.get('peer') or peer),
        str(error.get('message', 'no reason given')),
        str(error.get('next_step', '')),
    )
