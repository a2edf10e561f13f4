"""Answer to a call of the platform."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status and complete body."""

    status: int
    body: bytes
