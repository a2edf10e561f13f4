"""Command that starts an attempt."""

from dataclasses import dataclass

from chiveworks.base import Attempt, Epoch, Resources, TaskId, TicketMs


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Command to start one attempt of a task.

    Attributes:
        epoch: The shard owner's epoch.
        ticket: Ticket obtained from the worker; the command expires when the ticket
            is 2 s old.
        task_id: Task to run.
        attempt: Number of the attempt.
        kind: Program to run, as the catalogue entry names it.
        payload: Argument passed to the program.
        resources: Resources to allocate to it.
        checkpoint: Checkpoint to resume from; empty to start from the beginning.
    """

    epoch: Epoch
    ticket: TicketMs
    task_id: TaskId
    attempt: Attempt
    kind: str
    payload: str
    resources: Resources
    checkpoint: str = ''
