"""Follows a figure that swings, and tells how low it will soon be."""

import math
from datetime import timedelta
from typing import Final

#: Time constants of the two means whose difference shows the direction. The load
#: of serving tasks swings within 10 to 14 s; single reports are rough.
FAST: Final = timedelta(milliseconds=700)
SLOW: Final = timedelta(milliseconds=2000)
#: How far ahead the figure is told: most filling tasks run for about 2 s.
AHEAD: Final = timedelta(milliseconds=1800)

#: Time without a figure after which the task has ended.
STALE: Final = timedelta(seconds=30)


class Trend:
    """Two moving means of a figure and the line through them."""

    __slots__ = ('_at', '_fast', '_slow')

    def __init__(self) -> None:
        self._at: timedelta | None = None
        self._fast: float = 0
        self._slow: float = 0

    def stale(self, now: timedelta) -> bool:
        """Whether no figure has come for long."""
        return self._at is not None and now - self._at > STALE

    def update(self, figure: float, now: timedelta) -> float:
        """Takes a figure; returns the lowest one expected until `AHEAD` from now."""
        if self._at is None:
            self._at = now
            self._fast = figure
            self._slow = figure
            return figure
        elapsed = now - self._at
        self._at = now
        self._fast += (1 - math.exp(-(elapsed / FAST))) * (figure - self._fast)
        self._slow += (1 - math.exp(-(elapsed / SLOW))) * (figure - self._slow)
        slope = (self._fast - self._slow) / ((SLOW - FAST) / AHEAD)
        return self._fast + min(slope, 0)
