"""State of the start of an attempt, as known to the shard owner."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import Attempt, TicketMs
from chiveworks.scheduler._start_phase import StartPhase


@dataclass(slots=True)
class TrackedStart:
    """The start of an attempt on a worker.

    Attributes:
        attempt: Number of the attempt.
        phase: Progress of the start.
        ticket: Ticket sent with the start; 0 before sending.
        confirmed: Monotonic time at which the worker confirmed the start.
    """

    attempt: Attempt
    phase: StartPhase
    ticket: TicketMs = TicketMs(0)
    confirmed: timedelta | None = None
