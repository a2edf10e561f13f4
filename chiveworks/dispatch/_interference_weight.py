"""Belief about how much one filling image disturbs one serving image."""

import math
from typing import Final

#: Belief about a pair of which nothing has been seen. Recorded reports show two
#: groups of pairs, around 1 and from 5 to 8.
INITIAL_WEIGHT: Final = 2.5
INITIAL_VARIANCE: Final = 9.0
#: Growth of the variance in a second: the amounts may change.
VARIANCE_GROWTH: Final = 0.01
#: Greatest weight that is believed.
MAX_WEIGHT: Final = 12.0


class InterferenceWeight:
    """Mean and variance of a weight, corrected by reports.

    Attributes:
        weight: Headroom lost if tasks of the filling image took a whole worker.
        variance: Variance of `weight`.
    """

    __slots__ = ('variance', 'weight')

    def __init__(
        self, weight: float = INITIAL_WEIGHT, variance: float = INITIAL_VARIANCE
    ) -> None:
        self.weight = weight
        self.variance = variance

    def correct(self, share: float, residual: float, spread: float) -> None:
        """Takes a report from beside tasks that used a share of the worker.

        Args:
            share: Share of the worker's processors in use.
            residual: Reported less expected headroom.
            spread: Variance of the residual, that of the weight included.
        """
        gain = self.variance * share / spread
        self.weight = min(max(self.weight - gain * residual, 0), MAX_WEIGHT)
        self.variance *= 1 - gain * share

    def age(self, seconds: float) -> None:
        """Lets the belief become less certain with time."""
        self.variance = min(self.variance + VARIANCE_GROWTH * seconds, INITIAL_VARIANCE)

    def upper_bound(self, deviations: float) -> float:
        """Returns the weight plus a number of standard deviations."""
        return self.weight + deviations * math.sqrt(self.variance)
