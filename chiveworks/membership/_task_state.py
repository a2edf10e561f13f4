"""States of a task."""

from enum import Enum


class TaskState(str, Enum):
    """State of a task as its shard owner knows it."""

    QUEUED = 'queued'
    #: Assigned to a worker that has not yet reported it as running.
    CLAIMED = 'claimed'
    RUNNING = 'running'
    STOPPING = 'stopping'
    FINISHED = 'finished'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    #: Stopped manually; waits until an operator adopts or reverts the override.
    HELD = 'held'
