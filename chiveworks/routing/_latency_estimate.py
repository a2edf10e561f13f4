"""Smoothed latency that decays without new measurements."""

from datetime import timedelta

#: Weight of a new measurement.
_WEIGHT = 0.2
#: Below this an estimate has decayed, and the next measurement replaces it.
_DECAYED_MS = 0.01
#: Bounds the exponent; after so many half-lives an estimate is negligible.
_MAX_HALF_LIVES = 60


class LatencyEstimate:
    """Exponentially weighted moving average with decay by age."""

    def __init__(self) -> None:
        # The trailing underscore marks learned state (design.md, section 13).
        self.latency_ms_ = float(0)  # noqa: WPS120
        self.measured_at_ = timedelta()  # noqa: WPS120

    def predict(self, now: timedelta, half_life: timedelta) -> float:
        """Returns the smoothed latency in ms, halved for each half-life of age."""
        age: float = (now - self.measured_at_) / half_life
        return self.latency_ms_ * float(0.5 ** min(age, _MAX_HALF_LIVES))

    def partial_fit(
        self, now: timedelta, latency: timedelta, half_life: timedelta
    ) -> None:
        """Updates the estimate with a measurement."""
        measured = latency / timedelta(milliseconds=1)
        previous = self.predict(now, half_life)
        weight = _WEIGHT if previous > _DECAYED_MS else 1
        self.latency_ms_ = previous + weight * (measured - previous)  # noqa: WPS120
        self.measured_at_ = now  # noqa: WPS120
