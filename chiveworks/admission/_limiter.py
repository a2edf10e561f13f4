"""Interface and registry of concurrency limiters."""

from datetime import timedelta
from typing import Protocol

from chiveworks.base import Registry


class Limiter(Protocol):
    """Decides how many requests may be in progress."""

    def limit(self) -> int:
        """Returns the current limit."""

    def observe(self, latency: timedelta, in_progress: int, dropped: bool) -> None:
        """Records the end of a request.

        Args:
            latency: Time from its admission to its end.
            in_progress: Requests in progress when it ended, including itself.
            dropped: Whether it got no response, which is taken as a sign of overload.
        """


LIMITERS: Registry[Limiter] = Registry('limiter')
