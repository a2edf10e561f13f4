"""A task that needs a worker."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import Resources, ServiceClass, TaskId, TenantName


@dataclass(frozen=True, slots=True)
class Demand:
    """A task and its requirements, for placement decisions and the queue.

    Attributes:
        task_id: The task.
        kind: Kind of work; interference is estimated for pairs of kinds.
        tenant: Tenant whose quota the task counts against.
        resources: Resources to reserve.
        arrival: Monotonic time of submission.
        service_class: Latency-critical or batch.
        urgent: Whether it precedes tasks that are not urgent.
        deadline: Monotonic time by which it should end.
        run_time: Predicted run time; 0 if unknown.
        lost_work: Work that an eviction now would lose.
    """

    task_id: TaskId
    kind: str
    tenant: TenantName
    resources: Resources
    arrival: timedelta
    service_class: ServiceClass = ServiceClass.BATCH
    urgent: bool = False
    deadline: timedelta | None = None
    run_time: timedelta = timedelta(0)
    lost_work: timedelta = timedelta(0)
