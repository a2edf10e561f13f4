"""A job as shown to callers and operators."""

from dataclasses import dataclass

from chiveworks.base import JobId, TenantName, ZoneName
from chiveworks.membership._job_state import JobState
from chiveworks.membership._task_view import TaskView


@dataclass(frozen=True, slots=True)
class JobView:
    """State of a job and of its tasks.

    Attributes:
        job_id: The job.
        tenant: The customer.
        key: The caller's key.
        state: State of the job.
        home: Zone whose shard owner runs it.
        generation: Count of the moves of its home.
        reason: Why it is in this state, where the state needs one.
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
