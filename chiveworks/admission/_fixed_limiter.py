"""Concurrency limiter with a fixed limit."""

from datetime import timedelta

from chiveworks.admission._limiter import LIMITERS
from chiveworks.base import check_positive


@LIMITERS.register('fixed')
class FixedLimiter:
    """Allows a fixed number of requests in progress."""

    def __init__(self, limit: int) -> None:
        self._limit = limit

    def limit(self) -> int:
        """Returns the limit."""
        check_positive('limit', self._limit)
        return self._limit

    def observe(self, latency: timedelta, in_progress: int, dropped: bool) -> None:
        """Does nothing: the limit is fixed."""
