"""States of a job."""

from enum import Enum


class JobState(str, Enum):
    """State of a job as reported to callers."""

    ACCEPTED = 'accepted'
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNSCHEDULABLE = 'unschedulable'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    #: At least one of its tasks is held.
    HELD = 'held'
