"""Interchangeable limits of concurrency."""

from datetime import timedelta
from typing import Protocol

from chiveworks.base import Registry


class Limiter(Protocol):
    """Decides how many requests may be in progress."""

    def limit(self) -> int:
        """Returns the present limit."""

    def observe(self, latency: timedelta, in_progress: int, dropped: bool) -> None:
        """Takes in the end of a request.

        Args:
            latency: Time it took after admission.
            in_progress: Requests in progress when it ended, itself included.
            dropped: Whether it failed for lack of capacity or by timeout.
        """


LIMITERS: Registry[Limiter] = Registry('limiter')
