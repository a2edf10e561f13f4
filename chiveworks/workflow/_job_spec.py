"""Description of a job, as a client submits it."""

from dataclasses import dataclass
from datetime import datetime, timedelta, timezone

from chiveworks.base import AccountName, JobId
from chiveworks.workflow._job_owner import JobOwner
from chiveworks.workflow._queue_policy import QueuePolicy
from chiveworks.workflow._recurrence import Recurrence
from chiveworks.workflow._step_spec import StepSpec

#: Longest payload in characters; set by the platform.
PAYLOAD_LIMIT = 4000
#: Maximum number of steps in a job; bounds the work caused by one submission.
STEP_LIMIT = 256
#: Maximum number of tasks in a step; bounds the work caused by one submission.
TASK_LIMIT = 10_000
#: Maximum number of occurrences of a job; bounds the work caused by one submission.
OCCURRENCE_LIMIT = 10_000
#: Longest estimate and latency target. The sum over a chain of `STEP_LIMIT` steps is
#: within the range of `timedelta`, also after the queue's stretch.
DURATION_LIMIT = timedelta(days=100)

_NO_TIME = timedelta()
_UNKNOWN_TIME = datetime(1970, 1, 1, tzinfo=timezone.utc)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as described by its client.

    Attributes:
        payload: Text passed to every task.
        steps: Steps in the client's order.
        recurrence: Due times; None if the job runs once, immediately.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    recurrence: Recurrence | None = None

    def validation_error(self) -> str:
        """Returns why the job is invalid, or an empty string if it is valid."""
        if len(self.payload) > PAYLOAD_LIMIT:
            return f'the payload has more than {PAYLOAD_LIMIT} characters'
        if not self.steps:
            return 'the job has no steps'
        if len(self.steps) > STEP_LIMIT:
            return f'the job has more than {STEP_LIMIT} steps'
        errors = (
            _step_validation_error(position, step)
            for position, step in enumerate(self.steps)
        )
        return next(filter(None, errors), '') or self._recurrence_error()

    def _recurrence_error(self) -> str:
        recurrence = self.recurrence
        if recurrence is None:
            return ''
        if not 1 <= recurrence.count <= OCCURRENCE_LIMIT:
            return f'the job has {recurrence.count} occurrences'
        if recurrence.interval < _NO_TIME:
            return 'the interval between occurrences is negative'
        try:
            recurrence.due(recurrence.count)
        except OverflowError:
            return 'the last occurrence is due too late'
        return ''


@dataclass(frozen=True, slots=True)
class Submission:
    """An accepted job, as stored.

    Attributes:
        job_id: Id chosen by the client.
        queue: Policy of the queue at the time of acceptance.
        spec: Description of the job.
        cancelled: Whether a client has cancelled the job.
        accepted_at: Wall-clock time of the acceptance.
        account: Client account that submitted the job; empty if it has none.
    """

    job_id: JobId
    queue: QueuePolicy
    spec: JobSpec
    cancelled: bool = False
    accepted_at: datetime = _UNKNOWN_TIME
    account: AccountName = AccountName('')

    @property
    def owner(self) -> JobOwner:
        """Account and queue of the job."""
        return JobOwner(self.account, self.queue.name)


def _step_validation_error(position: int, step: StepSpec) -> str:
    if not 1 <= step.count <= TASK_LIMIT:
        return f'step {position} has {step.count} tasks'
    demand = step.demand
    if min(demand.cpu_millicores, demand.memory_bytes, demand.accelerators) < 0:
        return f'step {position} asks for a negative amount'
    if not _NO_TIME <= min(step.estimate, step.latency_target):
        return f'step {position} has a negative duration'
    if max(step.estimate, step.latency_target) > DURATION_LIMIT:
        return f'step {position} has a duration of more than {DURATION_LIMIT.days} days'
    if any(not 0 <= dependency < position for dependency in step.after):
        return f'step {position} depends on a step that is not before it'
    return ''
