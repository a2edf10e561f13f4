"""State of the services on a worker and of the batch tasks that share it."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import TaskId, WorkerId


@dataclass(frozen=True, slots=True)
class Neighbour:
    """A batch task that shares a worker with a service.

    Attributes:
        task_id: The task.
        harm: Estimate of the excess slowdown that it causes the services; a task with
            0 is neither throttled nor evicted.
        lost_work: Work that an eviction now would lose.
        share: Share of its processors that it has after throttling.
        deadline_at_risk: Whether throttling would make it miss its deadline.
        evictable: Whether it may be evicted.
    """

    task_id: TaskId
    harm: float
    lost_work: timedelta
    share: float = 1
    deadline_at_risk: bool = False
    evictable: bool = True


@dataclass(frozen=True, slots=True)
class WorkerPressure:
    """State of the services on a worker and the batch tasks next to them.

    Attributes:
        worker_id: The worker.
        latency_ratio: Highest ratio among the services of the measured latency or
            slowdown to its target.
        neighbours: Batch tasks on the worker.
    """

    worker_id: WorkerId
    latency_ratio: float
    neighbours: tuple[Neighbour, ...] = ()
