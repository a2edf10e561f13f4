"""Expected durations of runs, by the lateness of their workers."""

from datetime import timedelta
from typing import Final

from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.locality import MAX_FACTOR, LatenessMeter
from chiveworks.workflow import Task

_NO_TIME: Final = timedelta()


class RunLateness:
    """Compares the durations of runs with the declared ones.

    Args:
        remote_factor: Duration of a remote run as a multiple of a near one.

    Attributes:
        remote_factor: The factor, from 1 to `MAX_FACTOR`.
    """

    def __init__(self, remote_factor: float = 1.0) -> None:
        self.remote_factor = min(max(1.0, remote_factor), MAX_FACTOR)
        self._meter = LatenessMeter()

    def of(self, worker: WorkerView) -> float:
        """Returns the lateness of a worker; 1 if it is not known."""
        return self._meter.of(worker.worker_id)

    def record_done(self, worker: WorkerView, task: Task, now: timedelta) -> None:
        """Records the duration of a run that has completed its task."""
        planned = self.planned(task, worker)
        if task.started_at is None or planned <= _NO_TIME or not _comparable(task):
            return
        self._meter.record(worker.worker_id, (now - task.started_at) / planned)

    def planned(self, task: Task, worker: WorkerView) -> timedelta:
        """Returns the declared duration on a worker that is not late."""
        spec = task.spec
        remote = bool(spec.data_rack) and spec.data_rack != worker.info.rack
        return spec.estimate * self.remote_factor if remote else spec.estimate


def starts_at_zero(task: Task) -> bool:
    """Whether the progress of the current run was 0 when it started, as far as known.

    It may not have been after a checkpoint, or if an earlier leader claimed the run, so
    that this one has not set `claim_version`.
    """
    return bool(task.claim_version) and not (task.checkpoint and task.attempt > 1)


def _comparable(task: Task) -> bool:
    """Whether only the worker and the estimate decide how long a run takes.

    Filling tasks are paused, and tightly coupled ones depend on where the others run.
    """
    spec = task.spec
    return starts_at_zero(task) and not (
        spec.fills or spec.long_running or spec.tightly_coupled
    )
