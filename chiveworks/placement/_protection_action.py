"""Measures that protect a service from the batch tasks beside it."""

from dataclasses import dataclass
from enum import Enum

from chiveworks.base import TaskId, WorkerId


class ActionType(str, Enum):
    """What to do with a batch task."""

    #: Leave it the given share of its processors, less or more than before.
    THROTTLE = 'throttle'
    #: Checkpoint it, stop it and queue it again.
    EVICT = 'evict'


@dataclass(frozen=True, slots=True)
class ProtectionAction:
    """One measure.

    Attributes:
        action_type: What to do.
        worker_id: Worker of the task.
        task_id: The task.
        share: Share of its processors to leave it, 0 after an eviction.
    """

    action_type: ActionType
    worker_id: WorkerId
    task_id: TaskId
    share: float
