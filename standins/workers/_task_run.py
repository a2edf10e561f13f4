"""An attempt on a simulated worker."""

import json
from dataclasses import dataclass

from chiveworks.base import Attempt, Resources, TaskId
from chiveworks.workers import ReportedState, StopCause, TaskReport
from standins.workers._payload import Payload


@dataclass(slots=True)
class TaskRun:
    """State of an attempt; `progress_ms` is run time without interference."""

    task_id: TaskId
    attempt: Attempt
    kind: str
    payload: str
    instructions: Payload
    allotted: Resources
    started_ms: int
    checkpoint: str = ''
    progress_ms: float = 0
    share: float = 1
    state: ReportedState = ReportedState.RUNNING
    cause: StopCause = StopCause.NONE
    output: str = ''

    @property
    def left_ms(self) -> float:
        """Remaining run time without interference."""
        return max(self.instructions.duration_ms - self.progress_ms, 0)

    def resume(self, checkpoint: str) -> None:
        """Restores the progress from a checkpoint; an empty one stands for none."""
        self.checkpoint = checkpoint
        self.progress_ms = float(checkpoint or 0)

    def add_progress(self, amount_ms: float, checkpoint_interval_ms: int) -> None:
        """Adds progress and takes a checkpoint if one is due."""
        self.progress_ms += amount_ms
        reached = int(self.progress_ms // checkpoint_interval_ms)
        latest = reached * checkpoint_interval_ms
        if latest > float(self.checkpoint or 0):
            self.checkpoint = str(latest)

    def complete(self) -> None:
        """Ends the run with a result, or as failed."""
        if self.instructions.fail:
            self.state = ReportedState.FAILED
            return
        self.state = ReportedState.FINISHED
        self.output = json.dumps(
            {
                'task_id': self.task_id,
                'payload': self.payload,
                'attempt': self.attempt,
            }
        )

    def halt(self, cause: StopCause, *, checkpoint: bool = False) -> None:
        """Stops the run; if requested, with a checkpoint of its exact progress."""
        self.state = ReportedState.STOPPED
        self.cause = cause
        if checkpoint:
            self.checkpoint = str(int(self.progress_ms))

    def report(self) -> TaskReport:
        """Returns the entry for the worker's report."""
        return TaskReport(
            self.task_id,
            self.attempt,
            self.state,
            self.allotted,
            self.output,
            self.checkpoint,
            self.cause,
        )
