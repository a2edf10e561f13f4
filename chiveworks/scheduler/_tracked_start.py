"""What this owner knows of a start that it sent."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import Attempt, TicketMs
from chiveworks.scheduler._start_phase import StartPhase


@dataclass(slots=True)
class TrackedStart:
    """A start that this owner decided on.

    Attributes:
        attempt: The attempt.
        phase: How far the start got.
        ticket: Quoted ticket; 0 before sending.
        confirmed: Monotonic time of the worker's confirmation.
    """

    attempt: Attempt
    phase: StartPhase
    ticket: TicketMs = TicketMs(0)
    confirmed: timedelta | None = None
