"""Measured size and run time of a task that has ended."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import Resources


@dataclass(frozen=True, slots=True)
class SizeSample:
    """Declared run time and measured resource use and run time of a task.

    Attributes:
        kind: Kind of the task.
        used: Peak measured resource use.
        declared_run_time: Run time declared in its catalogue entry.
        run_time: Measured run time, divided by its measured slowdown.
    """

    kind: str
    used: Resources
    declared_run_time: timedelta
    run_time: timedelta
