"""State of one task in the shard owner's task table."""

from dataclasses import dataclass

from chiveworks.base import Attempt, BootId, Resources, TaskId, WorkerId
from chiveworks.membership import TaskState, TaskView

#: States in which an attempt may be running on a worker and occupies capacity.
ACTIVE_STATES = frozenset(
    (TaskState.CLAIMED, TaskState.RUNNING, TaskState.STOPPING),
)
#: States that a task never leaves.
FINAL_STATES = frozenset(
    (
        TaskState.FINISHED,
        TaskState.FAILED,
        TaskState.CANCELLED,
        TaskState.OUTCOME_UNKNOWN,
    ),
)


@dataclass(slots=True)
class TaskRecord:
    """A task and its current or last attempt.

    Attributes:
        task_id: Id of the task.
        payload: Argument passed to its program.
        state: Current state.
        attempt: Number of its current or last attempt, 0 before the first.
        worker: Worker of that attempt.
        boot_id: Boot id of the worker when the attempt was claimed.
        reserved: Resources reserved on the worker while the task is active.
        checkpoint: Last recorded checkpoint.
        result: Its result; empty until it has finished.
        failures: Number of failed attempts.
        reason: Explanation of its state; empty when none is needed.
    """

    task_id: TaskId
    payload: str
    state: TaskState = TaskState.QUEUED
    attempt: Attempt = Attempt(0)
    worker: WorkerId = WorkerId('')
    boot_id: BootId = BootId('')
    reserved: Resources = Resources()
    checkpoint: str = ''
    result: str = ''
    failures: int = 0
    reason: str = ''

    @property
    def is_active(self) -> bool:
        """Whether an attempt may be running and occupies capacity."""
        return self.state in ACTIVE_STATES

    @property
    def is_final(self) -> bool:
        """Whether the task will not run again."""
        return self.state in FINAL_STATES

    def view(self) -> TaskView:
        """Returns the task as shown to callers."""
        return TaskView(
            self.task_id, self.state, self.attempt, self.worker, self.result
        )
