"""Judges workers by how the runs on them end."""

from datetime import timedelta
from typing import Final

from chiveworks.base import Clock
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.workflow import Task

#: Failed runs in a row after which a worker gets no work for a while. Two, since
#: a task may fail through its own fault and its attempts are limited.
FAILURE_LIMIT: Final = 2
#: First time without work; doubled with each further failure.
QUARANTINE: Final = timedelta(seconds=2)
QUARANTINE_LIMIT: Final = timedelta(seconds=8)


class WorkerHealth:
    """Quarantines workers on which runs of different tasks fail in a row."""

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self._clock = clock
        self._log = log

    def record_done(self, worker: WorkerView) -> None:
        """Notes that a run was done."""
        worker.failure_streak = 0

    def record_failure(self, worker: WorkerView, task: Task) -> None:
        """Notes that a run failed, and keeps the task away from the worker."""
        task.avoided.add(worker.worker_id)
        if task.failures > 1:
            # It failed elsewhere too, so that this says little of the worker.
            return
        worker.failure_streak += 1
        excess = worker.failure_streak - FAILURE_LIMIT
        if excess >= 0:
            self.quarantine(worker, min(QUARANTINE * 2**excess, QUARANTINE_LIMIT))

    def quarantine(self, worker: WorkerView, duration: timedelta) -> None:
        """Gives a worker no further work for a while."""
        worker.quarantined_until = self._clock.monotonic() + duration
        self._log.write(
            'worker_quarantined',
            worker=worker.worker_id,
            failures=worker.failure_streak,
            duration_s=duration.total_seconds(),
        )
