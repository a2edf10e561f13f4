"""One line of a worker's report."""

from dataclasses import dataclass

from chiveworks.base import Attempt, Resources, TaskId
from chiveworks.workers._stop_cause import StopCause
from chiveworks.workers._task_state import ReportedState


@dataclass(frozen=True, slots=True)
class TaskReport:
    """What the worker knows of one attempt.

    Attributes:
        task_id: The task.
        attempt: Number of its run.
        state: State of that run.
        allotted: Resources that the worker holds for it now.
        result: Its result; empty until it has finished.
        checkpoint: Its last checkpoint; empty when it has none.
        cause: Why it was stopped.
    """

    task_id: TaskId
    attempt: Attempt
    state: ReportedState
    allotted: Resources
    result: str = ''
    checkpoint: str = ''
    cause: StopCause = StopCause.NONE
