"""Refusal of a request whose body was not read completely."""

from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from chiveworks.guard._turn_away_reason import TurnAwayReason

_STATUSES: Final = MappingProxyType(
    {
        TurnAwayReason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        TurnAwayReason.BODY_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
        TurnAwayReason.HEADER_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        TurnAwayReason.MALFORMED: HTTPStatus.BAD_REQUEST,
    }
)
_MESSAGES: Final = MappingProxyType(
    {
        TurnAwayReason.BODY_TOO_LARGE: 'not run: the body is too large',
        TurnAwayReason.BODY_TIMEOUT: 'not run: the body was not received in time',
        TurnAwayReason.HEADER_TOO_LARGE: 'not run: the trailer fields are too large',
        TurnAwayReason.MALFORMED: 'not run: the body cannot be decoded',
        TurnAwayReason.SMALL_CHUNKS: 'not run: too many bodies come in small chunks',
    }
)


@dataclass(frozen=True, slots=True)
class BodyRefusal:
    """Refusal of a request, which has not run.

    Attributes:
        reason: Why the body was refused.
    """

    reason: TurnAwayReason

    @property
    def status(self) -> int:
        """HTTP status of the response; the client may come back after 503."""
        return int(_STATUSES.get(self.reason, HTTPStatus.SERVICE_UNAVAILABLE))

    @property
    def message(self) -> str:
        """Explanation for the client."""
        return _MESSAGES.get(self.reason, 'not run: too many requests are unfinished')
