"""Number of tasks in one state."""

from dataclasses import dataclass

from chiveworks.membership._task_state import TaskState


@dataclass(frozen=True, slots=True)
class TaskCount:
    """Number of a shard's tasks that are in `state`."""

    state: TaskState
    count: int
