"""What a client asks for when it submits a job."""

from dataclasses import dataclass
from datetime import datetime, timezone

from chiveworks.base import JobId
from chiveworks.workflow._queue_policy import QueuePolicy
from chiveworks.workflow._recurrence import Recurrence
from chiveworks.workflow._step_spec import StepSpec

#: Longest payload in characters; the platform's page bounds it.
PAYLOAD_LIMIT = 4000
#: Most steps of a job; bounds the work that one submission can cause.
STEP_LIMIT = 256
#: Most tasks of a step, for the same reason.
COUNT_LIMIT = 10_000

_UNKNOWN_TIME = datetime(1970, 1, 1, tzinfo=timezone.utc)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its client describes it.

    Attributes:
        payload: Text that every task receives.
        steps: Steps in the client's order.
        recurrence: Due times; None when the job runs once, at once.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    recurrence: Recurrence | None = None

    def problem(self) -> str:
        """Returns what makes the job impossible to run, or an empty text."""
        if len(self.payload) > PAYLOAD_LIMIT:
            return f'the payload has more than {PAYLOAD_LIMIT} characters'
        if not self.steps:
            return 'the job has no steps'
        if len(self.steps) > STEP_LIMIT:
            return f'the job has more than {STEP_LIMIT} steps'
        problems = (_step_problem(at, step) for at, step in enumerate(self.steps))
        return next(filter(None, problems), '')


@dataclass(frozen=True, slots=True)
class Submission:
    """A job as it is stored when it is accepted.

    Attributes:
        job_id: Id chosen by the client.
        queue: Policy of the queue at the time of acceptance.
        spec: The job itself.
        cancelled: Whether a client has cancelled the job.
        accepted_at: Time of day of the acceptance.
    """

    job_id: JobId
    queue: QueuePolicy
    spec: JobSpec
    cancelled: bool = False
    accepted_at: datetime = _UNKNOWN_TIME


def _step_problem(position: int, step: StepSpec) -> str:
    if not 1 <= step.count <= COUNT_LIMIT:
        return f'step {position} has {step.count} tasks'
    demand = step.demand
    if min(demand.cpu_millicores, demand.memory_bytes, demand.accelerators) < 0:
        return f'step {position} asks for a negative amount'
    if any(not 0 <= earlier < position for earlier in step.after):
        return f'step {position} depends on a step that is not before it'
    return ''
