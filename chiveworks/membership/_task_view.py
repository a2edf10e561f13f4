"""Task state for callers and operators."""

from dataclasses import dataclass

from chiveworks.base import Attempt, TaskId, WorkerId
from chiveworks.membership._task_state import TaskState


@dataclass(frozen=True, slots=True)
class TaskView:
    """State of one task of a job.

    Attributes:
        task_id: Id of the task.
        state: State of the task.
        attempt: Number of its current or last run; 0 before the first run.
        worker: Worker of that run; empty before the first run.
        result: Result of the task; empty until it has finished.
    """

    task_id: TaskId
    state: TaskState
    attempt: Attempt
    worker: WorkerId
    result: str = ''
