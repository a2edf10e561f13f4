"""Measured size and run time of a task that has ended."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import Resources


@dataclass(frozen=True, slots=True)
class SizeSample:
    """What a task declared and what it took.

    Attributes:
        kind: Kind of the task.
        used: Greatest measured use.
        declared_run_time: Run time in its catalogue entry.
        run_time: Measured run time, divided by its measured slowdown.
    """

    kind: str
    used: Resources
    declared_run_time: timedelta
    run_time: timedelta
