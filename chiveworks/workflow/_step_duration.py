"""Expected durations of the tasks of a step."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class StepDuration:
    """Work of the tasks of a step, without waits and pauses.

    Attributes:
        typical: Mean of the tasks.
        longest: Longest of the tasks; the step is done when this one is.
    """

    typical: timedelta
    longest: timedelta
