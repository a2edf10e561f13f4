"""State of an attempt on a worker."""

from enum import Enum


class ReportedState(str, Enum):
    """State of one attempt, as reported by its worker."""

    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'

    @property
    def ended(self) -> bool:
        """Whether the attempt is known to have ended."""
        return self is not ReportedState.RUNNING
