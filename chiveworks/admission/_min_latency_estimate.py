"""Estimate of the minimum latency of a service."""

from datetime import timedelta

_HALF_LIFE = timedelta(seconds=10)
#: Bounds the exponent; after so many half-lives an estimate is negligible.
_MAX_HALF_LIVES = 60
#: Share of the difference by which a slower response raises the estimate, so that
#: it follows a service that has become slower.
_RISE = 0.01


class MinLatencyEstimate:
    """Tracks the lowest measured latencies.

    The estimate decays while nothing is measured. Otherwise an estimate above all
    deadlines would refuse every request and never be corrected.
    """

    def __init__(self) -> None:
        # The trailing underscore marks learned state (design.md, section 13).
        self.min_latency_: timedelta | None = None  # noqa: WPS120
        self.measured_at_ = timedelta()  # noqa: WPS120

    def predict(self, now: timedelta) -> timedelta:
        """Returns the minimum latency to expect."""
        if self.min_latency_ is None:
            return timedelta()
        age: float = (now - self.measured_at_) / _HALF_LIFE
        return self.min_latency_ * float(0.5 ** min(age, _MAX_HALF_LIVES))

    def partial_fit(self, now: timedelta, latency: timedelta) -> None:
        """Updates the estimate with a measurement."""
        min_latency = self.min_latency_
        if min_latency is None or latency < min_latency:
            min_latency = latency
        else:
            min_latency += (latency - min_latency) * _RISE
        self.min_latency_ = min_latency  # noqa: WPS120
        self.measured_at_ = now  # noqa: WPS120
