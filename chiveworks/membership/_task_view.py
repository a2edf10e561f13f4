"""A task as shown to callers and operators."""

from dataclasses import dataclass

from chiveworks.base import Attempt, TaskId, WorkerId
from chiveworks.membership._task_state import TaskState


@dataclass(frozen=True, slots=True)
class TaskView:
    """State of one task of a job.

    Attributes:
        task_id: The task.
        state: Its state.
        attempt: Number of its current or last run; 0 before the first.
        worker: Worker of that run; empty before the first.
        result: What the task returned; empty until it has finished.
    """

    task_id: TaskId
    state: TaskState
    attempt: Attempt
    worker: WorkerId
    result: str = ''
