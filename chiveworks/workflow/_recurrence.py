"""Schedule of a recurring job."""

from dataclasses import dataclass
from datetime import datetime, timedelta


@dataclass(frozen=True, slots=True)
class Recurrence:
    """Due times of a recurring job.

    Attributes:
        count: Number of occurrences.
        first_due: Due time of occurrence 0.
        interval: Time between consecutive due times.
    """

    count: int
    first_due: datetime
    interval: timedelta

    def due(self, occurrence: int) -> datetime:
        """Returns the due time of an occurrence, counted from 0."""
        return self.first_due + occurrence * self.interval
