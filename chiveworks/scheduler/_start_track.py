"""What this owner knows of a start that it sent."""

from dataclasses import dataclass

from chiveworks.base import Attempt, TicketMs
from chiveworks.scheduler._start_phase import StartPhase


@dataclass(slots=True)
class StartTrack:
    """Attempt, phase and quoted ticket of a start; ticket 0 before sending."""

    attempt: Attempt
    phase: StartPhase
    ticket: TicketMs = TicketMs(0)
