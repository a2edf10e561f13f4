"""State of a job, stored under `jobs/ID` and in the shard owner's task table."""

from dataclasses import dataclass, field
from datetime import datetime

from pydantic import TypeAdapter

from chiveworks.base import JobId, TaskId, TenantName, ZoneName
from chiveworks.jobs._task_record import TaskRecord
from chiveworks.jobs._task_spec import TaskSpec
from chiveworks.membership import JobState, JobView, TaskState


@dataclass(slots=True)
class JobRecord:
    """A job with its tasks.

    Attributes:
        job_id: Derived from tenant and key.
        tenant: Tenant that submitted it.
        key: Idempotency key chosen by the caller.
        content_digest: Digest of entry and payloads, to detect a reused key.
        nonce: Changes with each write, to recognize a write whose response was lost.
        spec: Properties shared by its tasks.
        home: Zone whose shard owner runs it.
        generation: Incremented when a move changes its home or is abandoned.
        accepted_at: When it was accepted, in UTC.
        tasks: Its tasks, in the order of the payloads.
        cancelled: Whether a cancellation was accepted.
        moving: Whether a move to another zone has begun.
        reason: Explanation of its state; empty when none is needed.
        unschedulable: Whether no worker has enough capacity for one of its tasks.
    """

    job_id: JobId
    tenant: TenantName
    key: str
    content_digest: str
    nonce: str
    spec: TaskSpec
    home: ZoneName
    generation: int
    accepted_at: datetime
    tasks: list[TaskRecord] = field(default_factory=list)
    cancelled: bool = False
    moving: bool = False
    reason: str = ''
    unschedulable: bool = False

    @property
    def state(self) -> JobState:
        """State derived from the states of the tasks."""
        states = {task.state for task in self.tasks}
        if self.unschedulable:
            return JobState.UNSCHEDULABLE
        if all(task.is_final for task in self.tasks):
            return _final_state(states)
        if TaskState.HELD in states:
            return JobState.HELD
        if any(task.is_active for task in self.tasks):
            return JobState.RUNNING
        return JobState.ACCEPTED

    @property
    def is_final(self) -> bool:
        """Whether none of its tasks will run again."""
        return self.unschedulable or all(task.is_final for task in self.tasks)

    def view(self) -> JobView:
        """Returns the job as shown to callers."""
        return JobView(
            self.job_id,
            self.tenant,
            self.key,
            self.state,
            self.home,
            self.generation,
            self.reason,
            tuple(task.view() for task in self.tasks),
        )

    def encode(self) -> bytes:
        """Encodes the record for the store."""
        return _ADAPTER.dump_json(self)

    @classmethod
    def decode(cls, stored: bytes) -> 'JobRecord':
        """Decodes a record from the store."""
        return _ADAPTER.validate_json(stored)


def task_id_of(job_id: JobId, index: int) -> TaskId:
    """Returns the id of the task at `index` of a job."""
    return TaskId(f'{job_id}/{index}')


def job_id_of_task(task_id: TaskId) -> JobId:
    """Returns the id of the job that a task belongs to."""
    return JobId(task_id.rpartition('/')[0])


def _final_state(states: set[TaskState]) -> JobState:
    for task_state, job_state in _STATES_BY_SEVERITY:
        if task_state in states:
            return job_state
    return JobState.FINISHED


_STATES_BY_SEVERITY = (
    (TaskState.OUTCOME_UNKNOWN, JobState.OUTCOME_UNKNOWN),
    (TaskState.FAILED, JobState.FAILED),
    (TaskState.CANCELLED, JobState.CANCELLED),
)
_ADAPTER = TypeAdapter(JobRecord)
