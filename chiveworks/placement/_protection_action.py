"""Actions that protect services from batch tasks on the same worker."""

from dataclasses import dataclass
from enum import Enum

from chiveworks.base import TaskId, WorkerId


class ActionType(str, Enum):
    """Type of an action on a batch task."""

    #: Set the share of its processors; may lower or raise it.
    THROTTLE = 'throttle'
    #: Checkpoint it, stop it and queue it again.
    EVICT = 'evict'


@dataclass(frozen=True, slots=True)
class ProtectionAction:
    """An action on one batch task.

    Attributes:
        action_type: Type of the action.
        worker_id: Worker of the task.
        task_id: The task.
        share: Share of its processors that the task keeps; 0 for an eviction.
    """

    action_type: ActionType
    worker_id: WorkerId
    task_id: TaskId
    share: float
