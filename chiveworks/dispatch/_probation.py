"""Starts tasks that may crash workers apart from other tasks."""

from collections.abc import Iterable
from datetime import datetime, timedelta, timezone
from typing import Final

from chiveworks.base import Clock, WorkerId
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import StepRun, Task, TaskState

#: Age at which a run that its worker has survived is no suspect. A task that crashes its
#: workers does so as it starts.
PROBATION: Final = timedelta(milliseconds=500)
#: Age from which a run is not expected to crash a worker that still responds.
SETTLING_TIME: Final = timedelta(milliseconds=100)
#: Age up to which a worker may just have restarted after a crash.
RECENT_START: Final = timedelta(seconds=10)
_EPOCH: Final = datetime(1970, 1, 1, tzinfo=timezone.utc)


class Probation:
    """Keeps other tasks off the workers on which suspects have just been started.

    A worker that crashes then has only one suspect, and a suspect that does not crash
    its worker is soon known to be harmless.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspects: dict[WorkerId, Task] = {}

    def begin(self, worker: WorkerView, task: Task) -> None:
        """Closes the worker of a claimed suspect to other tasks."""
        self._suspects[worker.worker_id] = task

    def covers(self, worker: WorkerView, run: StepRun | None = None) -> bool:
        """Whether a suspect has been claimed for a worker that may still crash it.

        Args:
            worker: Worker in question.
            run: Step that is to start there; a gang may join a suspect of its own.
        """
        task = self._suspects.get(worker.worker_id)
        if task is None:
            return False
        if worker.tasks.get(task.ref) is not task or has_survived(worker, task):
            self._suspects.pop(worker.worker_id)
            return False
        return run is None or not _is_gang_of(run, task)

    def choose(self, suspect: Task, workers: Iterable[WorkerView]) -> WorkerView | None:
        """Returns the worker for a suspect on which a crash ends the fewest runs.

        Prefers workers that have run for a while: one that has just started may have
        crashed for a reason of its own.
        """
        now = self._clock.now()
        return min(
            (worker for worker in workers if self.takes(worker, suspect)),
            key=lambda worker: (_recently_started(worker, now), len(worker.tasks)),
            default=None,
        )

    def takes(self, worker: WorkerView, suspect: Task) -> bool:
        """Whether no other task is about to start, or just has, on a worker.

        Members of the suspect's gang do not count: they end with it in any case, and a
        gang may be wider than its service has workers.
        """
        latest = self._clock.monotonic() - SETTLING_TIME
        return all(
            _is_gang_of(suspect.step_run, task)
            or (
                task.state is not TaskState.CLAIMED
                and (task.started_at is None or task.started_at <= latest)
            )
            for task in worker.tasks.values()
        )


def has_survived(worker: WorkerView, task: Task) -> bool:
    """Whether a worker has reported late enough after the start of a run."""
    started_at = task.started_at
    return started_at is not None and worker.lease.observed_at - started_at >= PROBATION


def _is_gang_of(run: StepRun, task: Task) -> bool:
    """Whether a task is a member of the gang of a step."""
    return run.spec.gang and task.step_run is run


def _recently_started(worker: WorkerView, now: datetime) -> bool:
    born_ms = max(worker.born_ms, worker.info.born_ms)
    return now < _EPOCH + timedelta(milliseconds=born_ms) + RECENT_START
