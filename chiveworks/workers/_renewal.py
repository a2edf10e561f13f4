"""Renewal of a worker's control lease."""

from dataclasses import dataclass

from chiveworks.base import Attempt, Epoch, TaskId, TicketMs


@dataclass(frozen=True, slots=True)
class Renewal:
    """Extends the control lease to `ticket + lease_ms` by the worker's clock.

    Attributes:
        owner: Name of the shard owner, for the worker's log.
        epoch: The owner's epoch.
        lease_ms: Length of the lease.
        ticket: Ticket from the worker's last answer; 0 extends nothing.
        acknowledged: Ended attempts that the owner has recorded.
    """

    owner: str
    epoch: Epoch
    lease_ms: int
    ticket: TicketMs
    acknowledged: tuple[tuple[TaskId, Attempt], ...] = ()
