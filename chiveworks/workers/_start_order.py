"""Command that starts an attempt."""

from dataclasses import dataclass

from chiveworks.base import Attempt, Epoch, Resources, TaskId, TicketMs


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Starts one attempt of a task.

    Attributes:
        epoch: The shard owner's epoch.
        ticket: Ticket of the worker; the order expires when it is 2 s old.
        task_id: The task.
        attempt: Number of the run.
        kind: Program to run, as the catalogue entry names it.
        payload: Argument of the program.
        resources: What to hold for it.
        checkpoint: Where to resume; empty to start from the beginning.
    """

    epoch: Epoch
    ticket: TicketMs
    task_id: TaskId
    attempt: Attempt
    kind: str
    payload: str
    resources: Resources
    checkpoint: str = ''
