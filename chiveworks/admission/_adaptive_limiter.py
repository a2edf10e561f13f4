"""A limit that follows the gradient of latency."""

import math
from datetime import timedelta

from chiveworks.admission._limiter import LIMITERS
from chiveworks.base import check_positive

_MS = timedelta(milliseconds=1)
#: Weight of a new latency in the average.
_WEIGHT = 0.1
#: Part of the distance to the average by which the base rises per request. A larger
#: one takes a lasting overload for normal: with 1e-3 the limit rose to 729 where the
#: endpoints' capacity was 50. At 1,000 requests a second the base doubles in about
#: 20 minutes.
_RISE = 1e-6
#: The average may exceed the base by this factor at no cost.
_TOLERANCE = 1.5
_LEAST_GRADIENT = 0.5
_DROP_FACTOR = 0.95
_SMOOTHING = 0.5


@LIMITERS.register('adaptive')
class AdaptiveLimiter:
    """Lowers the limit while the average latency exceeds the least one seen.

    The idea is that of TCP Vegas (Brakmo, Peterson, 1995): a latency above the
    usual one means that requests queue at the endpoints. The square root of the
    limit is the queue that is tolerated.
    """

    def __init__(self, limit: int, least: int = 4, greatest: int = 4096) -> None:
        self._start = limit
        self._least = least
        self._greatest = greatest
        self._limit = float(limit)
        self._average_ms = float(0)
        self._base_ms = float(0)

    def limit(self) -> int:
        """Returns the present limit."""
        check_positive('limit', self._start)
        return int(self._limit)

    def observe(self, latency: timedelta, in_progress: int, dropped: bool) -> None:
        """Moves the limit after one request."""
        if dropped:
            self._move(self._limit * _DROP_FACTOR)
            return
        self._average(latency / _MS)
        # A limit that is not in use says nothing about what the endpoints bear.
        if in_progress * 2 < self._limit:
            return
        gradient = _TOLERANCE * self._base_ms / max(self._average_ms, 1e-6)
        gradient = min(1, max(_LEAST_GRADIENT, gradient))
        target = self._limit * gradient + math.sqrt(self._limit)
        # One request moves the limit by its share of a round of requests.
        weight = _SMOOTHING / max(in_progress, 1)
        self._move(self._limit + weight * (target - self._limit))

    def _average(self, latency_ms: float) -> None:
        if not self._base_ms:
            self._average_ms = latency_ms
            self._base_ms = latency_ms
            return
        self._average_ms += _WEIGHT * (latency_ms - self._average_ms)
        # The least average, not the least latency: a few quick answers, such as
        # errors, say nothing about what a request needs.
        rise = _RISE * (self._average_ms - self._base_ms)
        self._base_ms = min(self._base_ms + rise, self._average_ms)

    def _move(self, target: float) -> None:
        self._limit = min(max(target, self._least), self._greatest)
