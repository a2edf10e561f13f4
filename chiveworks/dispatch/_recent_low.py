"""Lowest figure of the last seconds."""

import math
from datetime import timedelta


class RecentLow:
    """Lowest figure of the current and of the last full window.

    Args:
        window: Length of a window.
    """

    __slots__ = ('_current', '_ends_at', '_previous', '_window')

    def __init__(self, window: timedelta) -> None:
        self._window = window
        self._current = math.inf
        self._previous = math.inf
        self._ends_at = timedelta()

    def update(self, figure: float, now: timedelta) -> float:
        """Takes a figure; returns the lowest one."""
        if now >= self._ends_at:
            self._previous = self._current
            self._current = math.inf
            self._ends_at = now + self._window
        self._current = min(self._current, figure)
        return min(self._current, self._previous)
