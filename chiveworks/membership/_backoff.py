"""Exponential backoff with jitter."""

from datetime import timedelta
from random import Random

from chiveworks.base import check_duration

_MAX_DOUBLINGS = 16


class Backoff:
    """Delays between attempts, with an upper bound that doubles per failure.

    Each delay is drawn uniformly between `least` and that bound, which is capped at
    `greatest`. The jitter spreads the attempts of many processes after an outage;
    `least` caps the rate of each process.
    """

    def __init__(self, least: timedelta, greatest: timedelta, random: Random) -> None:
        self._least = least
        self._greatest = greatest
        self._random = random
        self._failures = 0

    @property
    def failures(self) -> int:
        """Number of failures since the last success, capped."""
        return self._failures

    def reset(self) -> None:
        """Records a success."""
        self._failures = 0

    def next_delay(self) -> timedelta:
        """Records a failure and returns the delay before the next attempt."""
        check_duration('least', self._least)
        self._failures = min(self._failures + 1, _MAX_DOUBLINGS)
        upper = min(self._greatest, self._least * (1 << self._failures))
        return self._least + (upper - self._least) * self._random.random()
