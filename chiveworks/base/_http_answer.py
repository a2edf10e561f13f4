"""Answer to a call of the platform."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status and complete body."""

    status: int
    body: bytes
