"""Settings of the protection of services."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True)
class ProtectionSettings:
    """Thresholds and limits of the protection policy.

    Attributes:
        upper_ratio: Latency ratio above which batch tasks are throttled or evicted.
        lower_ratio: Latency ratio below which throttling is relaxed.
        throttle_after: Time above `upper_ratio` before the first action.
        step_interval: Minimum time between actions on a worker; longer than the lag
            of measurements, so that the effect of each action is measured first.
        relax_after: Time below `lower_ratio` before throttling is relaxed.
        min_share: Minimum share of its processors that throttling leaves a task.
        evict_after: Time above `upper_ratio` before the first eviction.
        evict_period: Time in which a task is evicted at most once.
        evictions_per_minute: Maximum number of evictions per minute in the zone.
    """

    upper_ratio: float = 1
    lower_ratio: float = 0.7
    throttle_after: timedelta = timedelta(seconds=2)
    step_interval: timedelta = timedelta(seconds=5)
    relax_after: timedelta = timedelta(seconds=20)
    min_share: float = 0.25
    evict_after: timedelta = timedelta(seconds=45)
    evict_period: timedelta = timedelta(minutes=10)
    evictions_per_minute: int = 4
