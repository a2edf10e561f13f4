"""A measured slowdown with the circumstances in which it arose."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class SlowdownSample:
    """One measurement, usually late.

    Attributes:
        kind: Kind of the measured task.
        others: Number of other tasks on the worker by kind, at that time.
        load: Load of the worker at that time, 0 to 1.
        slowdown: Run time or latency over the undisturbed one, from 1.
        at: Monotonic time of the measurement.
    """

    kind: str
    others: Mapping[str, int]
    load: float
    slowdown: float
    at: timedelta
