"""One task of a job and the run that it has at the moment."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from chiveworks.base import JobId, WorkerId
from chiveworks.workflow._step_spec import StepSpec

if TYPE_CHECKING:
    from chiveworks.workflow._step_run import StepRun


class TaskRef(NamedTuple):
    """Names a task: job, occurrence, step and position, all from 0."""

    job_id: JobId
    occurrence: int
    step: int
    position: int


#: Pace of a run whose last order to change it had no known outcome.
UNKNOWN_PACE = -1


class TaskState(enum.IntEnum):
    """Where a task stands; the numbers are stored."""

    #: Waits for earlier steps, for its due time, or for a worker.
    WAITING = 0
    #: Claimed for a worker; the start may not have been sent yet.
    CLAIMED = 1
    #: A worker runs it.
    RUNNING = 2
    #: The worker was told to stop it.
    STOPPING = 3
    DONE = 4


@dataclass(slots=True, eq=False)
class Task:
    """A task; `attempt` numbers its runs from 1.

    Attributes:
        ref: Name of the task.
        step_run: Step run that the task belongs to.
        state: Where the task stands.
        attempt: Number of the latest run.
        failures: Runs that ended as failed.
        worker: Worker of the claimed or current run.
        checkpoint: Latest checkpoint; empty when none.
        started_at: When the current run was confirmed.
        progress_percent: Progress that the worker reported last.
        progressed_at: When `progress_percent` last changed.
        measured: Last figure: tail latency in ms for serving tasks, else millicores.
        pace_percent: Share of its speed that the task was set to.
        claim_version: Version of the job's record that holds the claim.
        sent: Whether the start of the current run may have been sent.
        waiting_since: When the task last began to wait for a worker.
        reserved_worker: Worker that keeps room for the next run.
        avoided_workers: Workers on which the task failed or stood still.
    """

    ref: TaskRef
    step_run: StepRun
    state: TaskState = TaskState.WAITING
    attempt: int = 0
    failures: int = 0
    worker: WorkerId | None = None
    checkpoint: str = ''
    started_at: timedelta | None = None
    progress_percent: int = 0
    progressed_at: timedelta = timedelta()
    measured: int = 0
    pace_percent: int = 100
    claim_version: int = 0
    sent: bool = False
    waiting_since: timedelta = timedelta()
    reserved_worker: WorkerId | None = None
    avoided_workers: set[WorkerId] = field(default_factory=set)

    @property
    def spec(self) -> StepSpec:
        """The step that the task belongs to."""
        return self.step_run.spec

    @property
    def active(self) -> bool:
        """Whether the task holds room on a worker."""
        return TaskState.CLAIMED <= self.state <= TaskState.STOPPING

    def claim(self, worker: WorkerId) -> None:
        """Assigns the next run to a worker; the start has not been sent."""
        self.attempt = self.step_run.next_attempt(self)
        self.state = TaskState.CLAIMED
        self.worker = worker
        self.sent = False
        self.started_at = None
        self.progress_percent = 0
        self.pace_percent = 100
        self.measured = 0

    def unclaim(self) -> None:
        """Takes back a claim that nobody has been told of."""
        self.release()
        self.attempt -= 1

    def release(self) -> None:
        """Lets the task wait again after its run has certainly ended."""
        self.state = TaskState.WAITING
        self.worker = None
        self.started_at = None
        self.sent = False
