"""Expected release of resources on a worker."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import Resources


@dataclass(frozen=True, slots=True)
class Release:
    """Resources that a run is expected to free.

    Attributes:
        ends_at: Expected end of the run.
        spread: How much later the end may well be.
        freed: Resources that the run occupies.
    """

    ends_at: timedelta
    spread: timedelta
    freed: Resources
