"""State of a task on a worker."""

from enum import Enum


class ReportedState(str, Enum):
    """State of one attempt, as the worker reports it."""

    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'

    @property
    def ended(self) -> bool:
        """Whether the attempt has certainly ended."""
        return self is not ReportedState.RUNNING
