"""Smoothed latency that fades when it is not renewed."""

from datetime import timedelta

#: Weight of a new measurement.
_WEIGHT = 0.2
#: Below this the former estimate has faded, and a measurement counts in full.
_FADED_MS = 0.01
#: Half-lives after which an estimate is as good as gone; bounds the exponent.
_HALF_LIVES = 60


class LatencyEstimate:
    """Exponentially weighted moving average with decay by age."""

    def __init__(self) -> None:
        # The trailing underscore marks learned state (design.md, section 13).
        self.latency_ms_ = float(0)  # noqa: WPS120
        self.measured_at_ = timedelta()  # noqa: WPS120

    def predict(self, now: timedelta, half_life: timedelta) -> float:
        """Returns the smoothed latency in ms, halved for each half-life of age."""
        age: float = (now - self.measured_at_) / half_life
        return self.latency_ms_ * float(0.5 ** min(age, _HALF_LIVES))

    def partial_fit(
        self, now: timedelta, latency: timedelta, half_life: timedelta
    ) -> None:
        """Takes in one measurement."""
        measured = latency / timedelta(milliseconds=1)
        previous = self.predict(now, half_life)
        weight = _WEIGHT if previous > _FADED_MS else 1
        self.latency_ms_ = previous + weight * (measured - previous)  # noqa: WPS120
        self.measured_at_ = now  # noqa: WPS120
