"""Interface of one worker: orders, and looks at what it runs."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from result import Result

from chiveworks.base import Epoch, Failure
from chiveworks.workflow import TaskRef


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    #: The worker's lease ran out.
    LAPSED = 'lapsed'
    #: Another member of the gang ended.
    GANG_BROKEN = 'gang_broken'
    #: The other members of the gang did not come in time.
    GANG_ALONE = 'gang_alone'


@dataclass(frozen=True, slots=True)
class RunRow:
    """A run that is on a worker.

    Attributes:
        ref: Task.
        attempt: Number of the run.
        checkpoint: Latest checkpoint; empty when none.
        percent: Progress; 100 for a lasting task that is at work.
        measured: Tail latency in ms of a serving task, else millicores in use.
    """

    ref: TaskRef
    attempt: int
    checkpoint: str
    percent: int
    measured: int


@dataclass(frozen=True, slots=True)
class EndRow:
    """A run that has ended, until it is acknowledged.

    Attributes:
        number: Position in the worker's list of ends, from 1.
        ref: Task.
        attempt: Number of the run.
        kind: How it ended.
        checkpoint: Checkpoint at the end; empty when none.
    """

    number: int
    ref: TaskRef
    attempt: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Answer to a look at a worker.

    Attributes:
        clock: The worker's own steady clock.
        born_ms: Start of the incarnation; 0 when the worker does not say.
        running: Runs on the worker.
        ended: Ends that were not acknowledged, at most a page of them.
    """

    clock: timedelta
    born_ms: int
    running: Sequence[RunRow]
    ended: Sequence[EndRow]


class OrderOutcome(enum.Enum):
    """What became of an order."""

    ACCEPTED = 'accepted'
    #: The worker has seen a higher fencing token.
    FENCED = 'fenced'
    #: A run with this or a higher number was stopped or has ended there.
    SUPERSEDED = 'superseded'
    #: The lease end that the order quoted has passed on the worker's clock.
    EXPIRED = 'expired'
    NO_ROOM = 'no_room'
    #: The ticket is missing or no longer valid.
    NO_TICKET = 'no_ticket'
    #: The worker cannot take the order at all.
    INVALID = 'invalid'
    #: The worker is unhealthy and has done nothing.
    UNHEALTHY = 'unhealthy'
    #: Another incarnation answered; the one that was meant is gone.
    GONE = 'gone'
    #: There was no answer; the order may be carried out, also seconds later.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Tells a worker to start a run.

    Attributes:
        ref: Task.
        attempt: Number of the run.
        payload: Text for the task.
        lease_end: End of the worker's lease on the worker's clock.
        token: Fencing token.
        checkpoint: Where to resume; empty for a start from the beginning.
        ticket: Permission of the queue's external policy; empty when not needed.
    """

    ref: TaskRef
    attempt: int
    payload: str
    lease_end: timedelta
    token: Epoch
    checkpoint: str = ''
    ticket: str = ''


class WorkerControl(Protocol):
    """Calls of one worker."""

    async def start(self, order: StartOrder) -> OrderOutcome:
        """Starts a run; accepted also when that run is already there."""

    async def stop(self, ref: TaskRef, attempt: int, token: Epoch) -> OrderOutcome:
        """Stops a run; one that is not there yet will be refused from then on."""

    async def set_pace(
        self, ref: TaskRef, attempt: int, percent: int, token: Epoch
    ) -> OrderOutcome:
        """Sets the share of its speed at which a run works."""

    async def hold(
        self,
        token: Epoch,
        acknowledged: int,
        lease_end: timedelta | None,
        wait: timedelta,
    ) -> Result[WorkerReport | None, Failure]:
        """Extends the lease, acknowledges ends and waits for the next one.

        Returns:
            What the worker lists; None when another incarnation answered, so that
            the one that was meant is gone with all its runs.
        """

    async def reset(self) -> None:
        """Drops all connections, which may have gone silent."""

    async def close(self) -> None:
        """Closes all connections."""
