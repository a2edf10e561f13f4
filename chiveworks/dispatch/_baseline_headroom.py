"""Tracks the headroom that the serving tasks of a step have without filling tasks."""

from datetime import timedelta
from typing import Final

#: Initial state before the first report: level, variance of the level and variance of
#: the slope.
INITIAL_LEVEL: Final = 2.5
INITIAL_VARIANCE: Final = 2.0
INITIAL_SLOPE_VARIANCE: Final = 0.2
#: Variance of the change of the slope, per second. The load of serving tasks
#: oscillates with a period of 10 to 14 s, which changes the slope by up to 0.4 per
#: second.
SLOPE_DRIFT: Final = 0.16
#: Longest time step for which the state is predicted.
MAX_STEP: Final = timedelta(seconds=3)
_SECOND: Final = timedelta(seconds=1)


class BaselineHeadroom:
    """Kalman filter for the level and slope of an oscillating headroom.

    The prediction assumes a constant slope. All tasks of a step have the same load,
    so their reports update a single estimate.

    Args:
        now: Time of the first report.

    Attributes:
        level: Expected headroom at the last report.
        variance: Variance of `level`.
        heard_at: Time of the last report.
    """

    __slots__ = (
        '_covariance',
        '_slope',
        '_slope_variance',
        'heard_at',
        'level',
        'variance',
    )

    def __init__(self, now: timedelta) -> None:
        self.level = INITIAL_LEVEL
        self.variance = INITIAL_VARIANCE
        self.heard_at = now
        self._slope: float = 0
        self._slope_variance = INITIAL_SLOPE_VARIANCE
        self._covariance: float = 0

    def advance(self, now: timedelta) -> None:
        """Predicts the state at `now`."""
        step = max(min(now - self.heard_at, MAX_STEP) / _SECOND, 0)
        self.heard_at = max(now, self.heard_at)
        self.level += self._slope * step
        self.variance += (
            2 * step * self._covariance
            + step * step * self._slope_variance
            + SLOPE_DRIFT * step**3 / 3
        )
        self._covariance += step * self._slope_variance + SLOPE_DRIFT * step**2 / 2
        self._slope_variance += SLOPE_DRIFT * step

    def correct(self, residual: float, residual_variance: float) -> None:
        """Updates the state with a report.

        Args:
            residual: Reported minus expected headroom.
            residual_variance: Variance of the residual, including that of the level.
        """
        level_gain = self.variance / residual_variance
        slope_gain = self._covariance / residual_variance
        self.level += level_gain * residual
        self._slope += slope_gain * residual
        self._slope_variance -= slope_gain * self._covariance
        self._covariance -= level_gain * self._covariance
        self.variance -= level_gain * self.variance

    def lowest(self, ahead: timedelta) -> float:
        """Returns the lowest level expected within `ahead` after the last report."""
        return self.level + min(self._slope, 0) * (ahead / _SECOND)
