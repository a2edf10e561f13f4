"""Estimate of how much one filling image disturbs one serving image."""

import math
from typing import Final

#: Initial estimate for a pair of images without reports. Recorded reports show two
#: groups of pairs: weights around 1, and weights from 5 to 8.
INITIAL_WEIGHT: Final = 2.5
INITIAL_VARIANCE: Final = 9.0
#: Growth of the variance per second, since weights may change over time.
VARIANCE_GROWTH: Final = 0.01
#: Upper bound of the estimated weight.
MAX_WEIGHT: Final = 12.0


class InterferenceWeight:
    """Mean and variance of a weight, updated by reports.

    Attributes:
        weight: Headroom lost if tasks of the filling image used a whole worker.
        variance: Variance of `weight`.
    """

    __slots__ = ('variance', 'weight')

    def __init__(
        self, weight: float = INITIAL_WEIGHT, variance: float = INITIAL_VARIANCE
    ) -> None:
        self.weight = weight
        self.variance = variance

    def correct(self, share: float, residual: float, residual_variance: float) -> None:
        """Updates the estimate with a report of a serving task.

        Args:
            share: Share of the worker's processors that the filling image used.
            residual: Reported minus expected headroom.
            residual_variance: Variance of the residual, including that of the weight.
        """
        gain = self.variance * share / residual_variance
        self.weight = min(max(self.weight - gain * residual, 0), MAX_WEIGHT)
        self.variance *= 1 - gain * share

    def age(self, seconds: float) -> None:
        """Increases the variance with the elapsed time."""
        self.variance = min(self.variance + VARIANCE_GROWTH * seconds, INITIAL_VARIANCE)

    def upper_bound(self, deviations: float) -> float:
        """Returns the weight plus a number of standard deviations."""
        return self.weight + deviations * math.sqrt(self.variance)
