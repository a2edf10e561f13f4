"""Detects runs that make no progress on a worker that responds."""

from datetime import timedelta
from typing import Final

from chiveworks.base import Clock, WorkerId
from chiveworks.dispatch._health import WorkerHealth
from chiveworks.dispatch._orders import Orders
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import Task, TaskState

#: Time without progress after which a run counts as stalled. Reports arrive at least
#: every 0.9 s, and a run that resumes from a checkpoint starts 0.6 s later. At a reduced
#: pace it is longer in proportion.
STALL_TIMEOUT: Final = timedelta(milliseconds=2400)
#: Time during which a worker with stalled runs gets no work.
QUARANTINE: Final = timedelta(seconds=3)
#: Interval between checks, each of which looks at all runs.
CHECK_INTERVAL: Final = timedelta(milliseconds=250)
_FULL: Final = 100


class StallDetector:
    """Stops stalled runs, so that their tasks start again on another worker.

    Args:
        clock: Source of time.
        workers: Workers by id.
        orders: Sends the stops.
        health: Quarantines the worker.
    """

    def __init__(
        self,
        clock: Clock,
        workers: dict[WorkerId, WorkerView],
        orders: Orders,
        health: WorkerHealth,
    ) -> None:
        self._clock = clock
        self._workers = workers
        self._orders = orders
        self._health = health
        self._checked_at = clock.monotonic()

    def check(self) -> None:
        """Stops stalled runs and quarantines their workers."""
        now = self._clock.monotonic()
        if now - self._checked_at < CHECK_INTERVAL:
            return
        self._checked_at = now
        for worker in self._workers.values():
            if worker.live:
                self._check_worker(worker, now)

    def _check_worker(self, worker: WorkerView, now: timedelta) -> None:
        stalled = [task for task in worker.tasks.values() if _is_stalled(task, now)]
        for task in stalled:
            task.avoided_workers.add(worker.worker_id)
            self._orders.stop(task, 'the run makes no progress')
        if stalled:
            self._health.quarantine(worker, QUARANTINE)


def _is_stalled(task: Task, now: timedelta) -> bool:
    return (
        task.state is TaskState.RUNNING
        and task.pace_percent > 0
        and task.progress_percent < _FULL
        and not task.spec.gang
        and now - task.progressed_at > STALL_TIMEOUT * _FULL / task.pace_percent
    )
