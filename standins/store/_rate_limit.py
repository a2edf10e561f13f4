"""Limit on the number of calls per second."""

from datetime import timedelta

from chiveworks.base import Clock

_WINDOW = timedelta(seconds=1)


class RateLimit:
    """Admits at most `per_s` calls per fixed window of one second."""

    def __init__(self, clock: Clock, per_s: int) -> None:
        self._clock = clock
        self._per_s = per_s
        self._window_start = clock.monotonic()
        self._used = 0

    def admit(self) -> bool:
        """Counts a call; False when the limit of the window is exceeded."""
        now = self._clock.monotonic()
        if now - self._window_start >= _WINDOW:
            self._window_start = now
            self._used = 0
        self._used += 1
        return self._used <= self._per_s
