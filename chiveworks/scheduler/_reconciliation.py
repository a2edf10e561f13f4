"""What follows from a worker's report."""

from dataclasses import dataclass, field

from chiveworks.base import Attempt, TaskId
from chiveworks.jobs import Change


@dataclass(slots=True)
class Reconciliation:
    """Differences between a worker's report and the table.

    Attributes:
        changes: Changes to commit.
        acknowledge: Ended attempts that the worker may forget after the commit.
        stale: Attempts that run although the table counts them as ended; they
            are to be stopped.
        gone: Tasks whose start needs no more tracking.
    """

    changes: list[Change] = field(default_factory=list)
    acknowledge: list[tuple[TaskId, Attempt]] = field(default_factory=list)
    stale: list[tuple[TaskId, Attempt]] = field(default_factory=list)
    gone: list[TaskId] = field(default_factory=list)
