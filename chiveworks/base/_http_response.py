"""Response of the platform to an HTTP request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status and complete body of a response."""

    status: int
    body: bytes
