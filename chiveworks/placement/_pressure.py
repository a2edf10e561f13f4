"""State of the services on one worker and of the batch tasks beside them."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import TaskId, WorkerId


@dataclass(frozen=True, slots=True)
class Neighbour:
    """A batch task on a worker that also runs a service.

    Attributes:
        task_id: The task.
        harm: Predicted excess slowdown that it causes the services.
        lost_work: Work lost if it were evicted now.
        share: Share of its processors that throttling leaves it.
        deadline_at_risk: Whether throttling would make it miss its deadline.
        evictable: Whether it may be evicted at all.
    """

    task_id: TaskId
    harm: float
    lost_work: timedelta
    share: float = 1
    deadline_at_risk: bool = False
    evictable: bool = True


@dataclass(frozen=True, slots=True)
class WorkerPressure:
    """Latency of the services on a worker.

    Attributes:
        worker_id: The worker.
        latency_ratio: Measured tail latency over the response target, of the
            service that is worst off.
        neighbours: Batch tasks on the worker.
    """

    worker_id: WorkerId
    latency_ratio: float
    neighbours: tuple[Neighbour, ...] = ()
