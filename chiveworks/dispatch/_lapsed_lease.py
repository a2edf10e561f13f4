"""Lapse of the lease of a worker that may have crashed."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.workflow import Task


@dataclass(frozen=True, slots=True)
class LapsedLease:
    """Tasks whose runs may have crashed the worker.

    Attributes:
        lapsed_at: When the lease lapsed, or this leader learned of it.
        suspects: Tasks, each with the lapsed run.
    """

    lapsed_at: timedelta
    suspects: list[Task]
