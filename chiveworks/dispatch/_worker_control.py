"""Interface of one worker: orders, and polls of the runs on it."""

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
    #: The other members of the gang did not start in time.
    GANG_ALONE = 'gang_alone'


@dataclass(frozen=True, slots=True)
class RunRow:
    """A run that a worker lists as present.

    Attributes:
        ref: Task.
        attempt: Number of the run.
        checkpoint: Latest checkpoint; empty when none.
        percent: Progress; 100 for a long-running task that is fully working.
        measured: Tail latency in ms of a serving task, otherwise millicores in use.
    """

    ref: TaskRef
    attempt: int
    checkpoint: str
    percent: int
    measured: int


@dataclass(frozen=True, slots=True)
class EndRow:
    """A run that has ended; listed until it is acknowledged.

    Attributes:
        number: Position in the worker's sequence of ended runs, from 1.
        ref: Task.
        attempt: Number of the run.
        kind: How the run ended.
        checkpoint: Checkpoint at the end; empty when none.
    """

    number: int
    ref: TaskRef
    attempt: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Response of a worker to a poll.

    Attributes:
        clock: Reading of the worker's monotonic clock.
        born_ms: Start time of the incarnation; 0 if the worker does not report it.
        running: Runs on the worker.
        ended: First page of the ended runs that are not acknowledged.
    """

    clock: timedelta
    born_ms: int
    running: Sequence[RunRow]
    ended: Sequence[EndRow]


class OrderOutcome(enum.Enum):
    """Outcome of an order."""

    ACCEPTED = 'accepted'
    #: The worker has seen a higher fencing token.
    FENCED = 'fenced'
    #: A run of the task with this or a higher number was stopped or has ended there.
    SUPERSEDED = 'superseded'
    #: The lease end in the order has passed on the worker's clock.
    EXPIRED = 'expired'
    NO_ROOM = 'no_room'
    #: The ticket is missing or no longer valid.
    NO_TICKET = 'no_ticket'
    #: The worker cannot carry out the order at all.
    INVALID = 'invalid'
    #: The worker is unhealthy and has not carried out the order.
    UNHEALTHY = 'unhealthy'
    #: Another incarnation responded; the one that was addressed is gone.
    GONE = 'gone'
    #: There was no response; the order may still be carried out, even seconds later.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to a worker to start a run.

    Attributes:
        ref: Task.
        attempt: Number of the run.
        payload: Input of the task.
        lease_end: End of the worker's lease on the worker's clock.
        token: Fencing token.
        checkpoint: Checkpoint to resume from; empty to start from the beginning.
        ticket: Ticket of the queue's external policy; empty when not needed.
        born_ms: Start time of the incarnation that may execute the order; 0 when
            unknown.
    """

    ref: TaskRef
    attempt: int
    payload: str
    lease_end: timedelta
    token: Epoch
    checkpoint: str = ''
    ticket: str = ''
    born_ms: int = 0


class WorkerControl(Protocol):
    """Client of one worker."""

    async def start(self, order: StartOrder) -> OrderOutcome:
        """Starts a run; also accepted when that run is already there.

        No other incarnation executes the order than the one that it names.
        """

    async def stop(self, ref: TaskRef, attempt: int, token: Epoch) -> OrderOutcome:
        """Stops a run; a run that has not started yet is refused from then on."""

    async def set_pace(
        self, ref: TaskRef, attempt: int, percent: int, token: Epoch
    ) -> OrderOutcome:
        """Sets the share of its full speed at which a run works, in percent."""

    async def poll(
        self,
        token: Epoch,
        acknowledged: int,
        lease_end: timedelta | None,
        wait: timedelta,
        born_ms: int = 0,
    ) -> Result[WorkerReport | None, Failure]:
        """Polls the worker: extends its lease, acknowledges ends, awaits the next one.

        Numbers of ends and the clock begin anew with each incarnation. Until the one
        that is named has responded, polls only ask for the report, at once.

        Args:
            token: Fencing token.
            acknowledged: Number of the last end that is acknowledged.
            lease_end: New lease end on the worker's clock; None to not extend it.
            wait: Maximum time to wait for an end that is not acknowledged.
            born_ms: Start time of the incarnation to which `acknowledged` and
                `lease_end` apply; 0 when unknown.

        Returns:
            The worker's report; None when another incarnation responded, so that the
            one that was addressed is gone with all of its runs.
        """

    async def reset(self) -> None:
        """Drops all connections, which may no longer respond."""

    async def close(self) -> None:
        """Closes all connections."""
