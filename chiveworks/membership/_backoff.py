"""Delays between attempts to reach something that fails."""

from datetime import timedelta
from random import Random

from chiveworks.base import check_duration

_MAX_DOUBLINGS = 16


class Backoff:
    """Doubles the delay after each failure and draws a random share of it.

    The random share spreads the attempts of many processes after an outage; the
    least delay caps the rate of each of them.
    """

    def __init__(self, least: timedelta, greatest: timedelta, random: Random) -> None:
        self._least = least
        self._greatest = greatest
        self._random = random
        self._failures = 0

    @property
    def failures(self) -> int:
        """Failures since the last success."""
        return self._failures

    def reset(self) -> None:
        """Notes a success."""
        self._failures = 0

    def next_delay(self) -> timedelta:
        """Notes a failure; returns the time to wait before the next attempt."""
        check_duration('least', self._least)
        self._failures = min(self._failures + 1, _MAX_DOUBLINGS)
        upper = min(self._greatest, self._least * (1 << self._failures))
        return self._least + (upper - self._least) * self._random.random()
