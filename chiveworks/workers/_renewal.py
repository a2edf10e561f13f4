"""Renewal of a worker's control lease."""

from dataclasses import dataclass

from chiveworks.base import Attempt, Epoch, TaskId, TicketMs


@dataclass(frozen=True, slots=True)
class Renewal:
    """Extends the control lease to `ticket + lease_ms` on the worker's clock.

    Attributes:
        owner: Name of the shard owner, logged by the worker.
        epoch: The owner's epoch.
        lease_ms: Length of the lease.
        ticket: Ticket from the worker's last response; 0 does not extend the lease.
        acknowledged: Ended attempts that the owner has recorded and the worker may
            forget.
    """

    owner: str
    epoch: Epoch
    lease_ms: int
    ticket: TicketMs
    acknowledged: tuple[tuple[TaskId, Attempt], ...] = ()
