"""Quarantines workers on which runs fail."""

from datetime import timedelta
from typing import Final

from chiveworks.base import Clock
from chiveworks.dispatch._run_lateness import RunLateness
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.workflow import Task

#: Consecutive failed runs after which a worker is quarantined. One would be too few,
#: since a task may be faulty itself; more would be too many, since the attempts of a
#: task are limited.
FAILURE_LIMIT: Final = 2
#: Duration of the first quarantine, which doubles with each further failure, and the
#: maximum duration.
QUARANTINE: Final = timedelta(seconds=2)
QUARANTINE_LIMIT: Final = timedelta(seconds=8)


class WorkerHealth:
    """Quarantines workers on which runs of different tasks fail consecutively.

    Args:
        clock: Source of time.
        log: Event log for quarantines.
        remote_factor: Duration of a remote run as a multiple of a near one.

    Attributes:
        lateness: Durations of successful runs against the declared ones.
    """

    def __init__(self, clock: Clock, log: EventLog, remote_factor: float = 1.0) -> None:
        self._clock = clock
        self._log = log
        self.lateness = RunLateness(remote_factor)

    def record_done(self, worker: WorkerView, task: Task, *, current: bool) -> None:
        """Records a successful run; `current` if it is the latest run of its task."""
        worker.failure_streak = 0
        if current:
            self.lateness.record_done(worker, task, self._clock.monotonic())

    def record_failure(self, worker: WorkerView, task: Task) -> None:
        """Records a failed run and makes its task avoid the worker."""
        task.avoided_workers.add(worker.worker_id)
        if task.failures > 1:
            # The task has failed before, so this says little about the worker.
            return
        worker.failure_streak += 1
        excess = worker.failure_streak - FAILURE_LIMIT
        if excess >= 0:
            self.quarantine(worker, min(QUARANTINE * 2**excess, QUARANTINE_LIMIT))

    def quarantine(self, worker: WorkerView, duration: timedelta) -> None:
        """Assigns no further work to a worker for the duration."""
        worker.quarantined_until = self._clock.monotonic() + duration
        self._log.write(
            'worker_quarantined',
            worker=worker.worker_id,
            failures=worker.failure_streak,
            duration_s=duration.total_seconds(),
        )
