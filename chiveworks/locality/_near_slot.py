"""Expected start of a waiting task on a near worker."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class NearSlot:
    """Start that a task can expect on a near worker.

    Attributes:
        starts_at: Expected start.
        spread: How much later the start may well be.
        ends_at: Expected end of the task.
    """

    starts_at: timedelta
    spread: timedelta
    ends_at: timedelta
