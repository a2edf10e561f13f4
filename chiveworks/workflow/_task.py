"""A task of a job and its current run."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, NamedTuple

from chiveworks.base import JobId, WorkerId
from chiveworks.workflow._lapsed_run import LapsedRun
from chiveworks.workflow._step_spec import StepSpec

if TYPE_CHECKING:
    from chiveworks.workflow._step_run import StepRun


class TaskRef(NamedTuple):
    """Identifies a task by its position in a step; all numbers count from 0."""

    job_id: JobId
    occurrence: int
    step: int
    position: int


#: Value of `Task.pace_percent` if the last order to set it was not confirmed.
UNKNOWN_PACE = -1


class TaskState(enum.IntEnum):
    """State of a task; the numeric values are stored."""

    #: Waits for earlier steps, for its due time or for a worker.
    WAITING = 0
    #: Assigned to a worker; the start may not have been sent yet.
    CLAIMED = 1
    #: Runs on the worker.
    RUNNING = 2
    #: To be stopped by its worker, which may not have been asked yet.
    STOPPING = 3
    DONE = 4


@dataclass(slots=True, eq=False)
class Task:
    """Mutable state of a task and of its current run.

    Attributes:
        ref: Identifier of the task.
        step_run: Step run that the task belongs to.
        state: Current state.
        attempt: Number of the latest run, counted from 1; 0 before the first.
        failures: Number of runs that failed.
        crashes: Number of workers in a row that crashed as the task started.
        lapsed: Latest run under which the lease of a worker lapsed, while it is not known
            whether the worker crashed.
        worker: Worker of the claimed or current run.
        worker_born_ms: Start time of the worker's incarnation at the claim; 0 when
            unknown.
        worker_address: Address of the worker at the claim; empty when unknown.
        checkpoint: Latest checkpoint; empty if there is none.
        started_at: When the start of the current run was confirmed.
        progress_percent: Progress last reported by the worker.
        progressed_at: When `progress_percent` last changed.
        worked: Work done so far at full pace, without pauses; includes earlier runs from
            whose checkpoint the current one resumed.
        worked_until: Time up to which `worked` counts; None while no run is known.
        measured: Last measurement reported by the worker: the tail latency in ms of
            a serving task, else the processor use in millicores.
        pace_percent: Speed that the run was set to, in percent of full speed.
        claim_version: Version of the job's progress that contains the claim.
        sent: Whether the start of the current run may have been sent.
        waiting_since: When the task last began to wait for a worker.
        reserved_worker: Worker with capacity reserved for the next run.
        reserved_at: When that worker was reserved.
        avoided_workers: Workers that rejected the task or on which it failed or
            stalled.
    """

    ref: TaskRef
    step_run: StepRun
    state: TaskState = TaskState.WAITING
    attempt: int = 0
    failures: int = 0
    crashes: int = 0
    lapsed: LapsedRun | None = None
    worker: WorkerId | None = None
    worker_born_ms: int = 0
    worker_address: str = ''
    checkpoint: str = ''
    started_at: timedelta | None = None
    progress_percent: int = 0
    progressed_at: timedelta = timedelta()
    worked: timedelta = timedelta()
    worked_until: timedelta | None = None
    measured: int = 0
    pace_percent: int = 100
    claim_version: int = 0
    sent: bool = False
    waiting_since: timedelta = timedelta()
    reserved_worker: WorkerId | None = None
    reserved_at: timedelta = timedelta()
    avoided_workers: set[WorkerId] = field(default_factory=set)

    @property
    def spec(self) -> StepSpec:
        """The step that the task belongs to."""
        return self.step_run.spec

    @property
    def active(self) -> bool:
        """Whether the task occupies capacity on a worker."""
        return TaskState.CLAIMED <= self.state <= TaskState.STOPPING

    @property
    def lingers(self) -> bool:
        """Whether a done task has a run that counts towards the limit of an account.

        Another member of its gang, or an earlier run, has completed the task.
        """
        return (
            self.state is TaskState.DONE
            and self.worker is not None
            and bool(self.step_run.job.account)
        )

    @property
    def start_pending(self) -> bool:
        """Whether a start of the current run is under way, without an outcome so far."""
        return self.state is TaskState.CLAIMED and self.sent and self.started_at is None

    def claim(
        self, worker: WorkerId, worker_born_ms: int = 0, worker_address: str = ''
    ) -> None:
        """Assigns the next run to a worker, before its start is sent."""
        self.attempt = self.step_run.next_attempt(self)
        self.state = TaskState.CLAIMED
        self.worker = worker
        self.worker_born_ms = worker_born_ms
        self.worker_address = worker_address
        self.sent = False
        self.started_at = None
        self.progress_percent = 0
        self.pace_percent = 100
        self.measured = 0
        self.worked_until = None
        if not self.checkpoint:
            self.worked = timedelta()

    def count_work(self, now: timedelta) -> None:
        """Counts the work of the current run up to now; call it before its pace changes."""
        since = self.worked_until or self.started_at
        if since is not None:
            share = self.pace_percent / 100 if self.pace_percent >= 0 else 1
            self.worked += share * max(now - since, timedelta())
            self.worked_until = now

    def unclaim(self) -> None:
        """Reverts a claim that was neither stored nor sent to the worker."""
        self.release()
        self.attempt -= 1

    def release(self) -> None:
        """Makes the task wait again, once its run is known to have ended."""
        self.state = TaskState.WAITING
        self.worker = None
        self.started_at = None
        self.sent = False
