"""Concurrency limiter that adapts to measured latency."""

import math
from datetime import timedelta

from chiveworks.admission._limiter import LIMITERS
from chiveworks.base import check_positive

_MS = timedelta(milliseconds=1)
#: Weight of a new latency in the moving average.
_AVERAGE_WEIGHT = 0.1
#: Share of the gap to the average by which each request raises the base latency.
#: A larger share treats a lasting overload as normal: with 1e-3 the limit rose to
#: 729 where the endpoints' capacity was 50. At 1,000 requests per second the base
#: doubles in about 20 minutes.
_BASE_RISE = 1e-6
#: Ratio of average to base latency up to which the limit is not reduced.
_TOLERANCE = 1.5
_MIN_GRADIENT = 0.5
_DROP_FACTOR = 0.95
_SMOOTHING = 0.5


@LIMITERS.register('adaptive')
class AdaptiveLimiter:
    """Adapts the limit to the ratio of the average latency to the base latency.

    The base is the lowest average seen, which rises slowly. As in TCP Vegas
    (Brakmo, Peterson, 1995), a latency above the base means that requests queue
    at the endpoints. The tolerated queue length is the square root of the limit.
    """

    def __init__(self, limit: int, least: int = 4, greatest: int = 4096) -> None:
        self._initial_limit = limit
        self._least = least
        self._greatest = greatest
        self._limit = float(limit)
        self._average_ms = float(0)
        self._base_ms = float(0)

    def limit(self) -> int:
        """Returns the current limit."""
        check_positive('limit', self._initial_limit)
        return int(self._limit)

    def observe(self, latency: timedelta, in_progress: int, dropped: bool) -> None:
        """Adjusts the limit after a request."""
        if dropped:
            self._set_limit(self._limit * _DROP_FACTOR)
            return
        self._update_latencies(latency / _MS)
        # Below half of the limit, latency does not show how much load the endpoints
        # can take.
        if in_progress * 2 < self._limit:
            return
        gradient = _TOLERANCE * self._base_ms / max(self._average_ms, 1e-6)
        gradient = min(1, max(_MIN_GRADIENT, gradient))
        target = self._limit * gradient + math.sqrt(self._limit)
        # Divided among the requests in progress, so that the size of the adjustment
        # per round trip does not depend on their number.
        weight = _SMOOTHING / max(in_progress, 1)
        self._set_limit(self._limit + weight * (target - self._limit))

    def _update_latencies(self, latency_ms: float) -> None:
        if not self._base_ms:
            self._average_ms = latency_ms
            self._base_ms = latency_ms
            return
        self._average_ms += _AVERAGE_WEIGHT * (latency_ms - self._average_ms)
        # Uses the lowest average instead of the lowest latency, because a few fast
        # responses, such as errors, do not represent the usual work of a request.
        rise = _BASE_RISE * (self._average_ms - self._base_ms)
        self._base_ms = min(self._base_ms + rise, self._average_ms)

    def _set_limit(self, target: float) -> None:
        self._limit = min(max(target, self._least), self._greatest)
