"""States of a task."""

from enum import Enum


class TaskState(str, Enum):
    """State of a task as its shard owner knows it."""

    QUEUED = 'queued'
    CLAIMED = 'claimed'
    RUNNING = 'running'
    STOPPING = 'stopping'
    FINISHED = 'finished'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    HELD = 'held'
