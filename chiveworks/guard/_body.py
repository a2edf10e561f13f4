"""Memory held for one request."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True)
class HeldBody:
    """Memory held for a request whose response has not been written.

    Attributes:
        started_at: When the body was first waited for.
        held_bytes: Size charged to the memory budget.
        marked_bytes: Size at the last sign of progress.
    """

    started_at: timedelta
    held_bytes: int = 0
    marked_bytes: int = 0
