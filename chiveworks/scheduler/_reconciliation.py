"""Result of comparing a worker's report with the table."""

from dataclasses import dataclass, field

from chiveworks.base import Attempt, TaskId
from chiveworks.jobs import Change, TaskRecord


@dataclass(slots=True)
class Reconciliation:
    """Actions required by a worker's report.

    Attributes:
        changes: Changes to commit.
        acknowledge: Ended attempts to acknowledge to the worker after the commit.
        stale: Running attempts to stop, because the table counts them as ended or
            as running on another worker.
        cancelled: Tasks of cancelled jobs whose current attempt the worker still runs.
        gone: Tasks whose start and stop no longer need tracking.
    """

    changes: list[Change] = field(default_factory=list)
    acknowledge: list[tuple[TaskId, Attempt]] = field(default_factory=list)
    stale: list[tuple[TaskId, Attempt]] = field(default_factory=list)
    cancelled: list[TaskRecord] = field(default_factory=list)
    gone: list[TaskId] = field(default_factory=list)
