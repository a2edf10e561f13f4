"""Limits on the requests of clients."""

from datetime import timedelta
from typing import Protocol


class RequestLimits(Protocol):
    """Limits on a request and on the time that a client may take."""

    @property
    def body_bytes(self) -> int:
        """Maximum size of the body."""

    @property
    def header_bytes(self) -> int:
        """Maximum size of the header section."""

    @property
    def header_timeout(self) -> timedelta:
        """Time limit for receiving the header section."""

    @property
    def idle_timeout(self) -> timedelta:
        """Time for which a connection may stay open without a request or progress."""
