"""Measured slowdown of a task and the conditions on its worker."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class SlowdownSample:
    """A measurement, usually reported with a delay.

    Attributes:
        kind: Kind of the measured task.
        others: Number of other tasks on the worker by kind, at that time.
        load: Load of the worker at that time, 0 to 1.
        slowdown: Ratio of run time or latency to the one without interference, at
            least 1.
        at: Monotonic time of the measurement.
    """

    kind: str
    others: Mapping[str, int]
    load: float
    slowdown: float
    at: timedelta
