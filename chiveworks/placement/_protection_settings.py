"""Settings of the protection of services."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True)
class ProtectionSettings:
    """Thresholds and bounds.

    Attributes:
        upper: Latency ratio above which measures are taken.
        lower: Latency ratio below which they are withdrawn.
        patience: Time over `upper` before the first measure.
        step_interval: Least time between measures on a worker; longer than the
            lag of measurements, so that each measure's effect is seen first.
        release_after: Time below `lower` before a measure is withdrawn.
        least_share: Share of processors below which nothing is throttled.
        evict_after: Time over `upper` before the first eviction.
        evict_period: Time in which a task is evicted at most once.
        evictions_per_minute: Bound for the whole zone.
    """

    upper: float = 1
    lower: float = 0.7
    patience: timedelta = timedelta(seconds=2)
    step_interval: timedelta = timedelta(seconds=5)
    release_after: timedelta = timedelta(seconds=20)
    least_share: float = 0.25
    evict_after: timedelta = timedelta(seconds=45)
    evict_period: timedelta = timedelta(minutes=10)
    evictions_per_minute: int = 4
