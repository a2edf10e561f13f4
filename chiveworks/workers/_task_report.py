"""State of one attempt in a worker's report."""

from dataclasses import dataclass

from chiveworks.base import Attempt, Resources, TaskId
from chiveworks.workers._reported_state import ReportedState
from chiveworks.workers._stop_cause import StopCause


@dataclass(frozen=True, slots=True)
class TaskReport:
    """One attempt, as reported by its worker.

    Attributes:
        task_id: Id of the task.
        attempt: Number of the attempt.
        state: State of the attempt.
        allotted: Resources currently allocated to it.
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
