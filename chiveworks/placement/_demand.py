"""A task that needs a worker."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import Resources, ServiceClass, TaskId, TenantName


@dataclass(frozen=True, slots=True)
class Demand:
    """What a placement decision and the queue know of a task.

    Attributes:
        task_id: The task.
        kind: Kind of work, the unit of interference estimates.
        tenant: Team whose quota the task counts against.
        resources: Amount to reserve.
        arrival: Monotonic time of submission.
        service_class: Service or batch work.
        urgent: Whether it precedes work that is not urgent.
        deadline: Monotonic time by which it should have ended.
        run_time: Predicted run time.
        lost_work: Work lost if it were evicted now.
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
