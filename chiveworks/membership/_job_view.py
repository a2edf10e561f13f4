"""Job state for callers and operators."""

from dataclasses import dataclass

from chiveworks.base import JobId, TenantName, ZoneName
from chiveworks.membership._job_state import JobState
from chiveworks.membership._task_view import TaskView


@dataclass(frozen=True, slots=True)
class JobView:
    """State of a job and of its tasks.

    Attributes:
        job_id: Id of the job.
        tenant: Tenant that submitted it.
        key: Idempotency key of the caller.
        state: State of the job.
        home: Zone whose shard owner runs it.
        generation: How often its home has moved.
        reason: Why the job is in this state; empty if the state needs no reason.
        tasks: Its tasks in the order of the payloads.
    """

    job_id: JobId
    tenant: TenantName
    key: str
    state: JobState
    home: ZoneName
    generation: int
    reason: str = ''
    tasks: tuple[TaskView, ...] = ()
