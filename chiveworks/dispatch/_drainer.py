"""Stops the runs on workers that are about to leave."""

from datetime import timedelta
from typing import Final

from chiveworks.base import Clock, WorkerId
from chiveworks.dispatch._orders import Orders
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import TaskState

#: Time for one order without a response, its repetition, and the report of the end of a
#: stop.
STOP_MARGIN: Final = timedelta(milliseconds=800)


class Drainer:
    """Stops the runs of a draining worker just before it may leave.

    A stop yields a checkpoint and a certain end. A departure yields neither, and the
    tasks could start again only after the worker's lease has lapsed.

    Args:
        clock: Source of time.
        workers: Workers by id.
        orders: Sends the stops.
        stop_limit: Longest time that a worker takes for a stop.
    """

    def __init__(
        self,
        clock: Clock,
        workers: dict[WorkerId, WorkerView],
        orders: Orders,
        stop_limit: timedelta,
    ) -> None:
        self._clock = clock
        self._workers = workers
        self._orders = orders
        self._lead = stop_limit + STOP_MARGIN

    def check(self) -> None:
        """Stops the runs of workers that leave soon."""
        now = self._clock.monotonic()
        for worker in self._workers.values():
            if worker.live and worker.info.draining and self._is_due(worker, now):
                self._stop_all(worker)

    def _is_due(self, worker: WorkerView, now: timedelta) -> bool:
        left = worker.time_to_departure(now)
        # A worker that does not say when it leaves may do so at any time.
        return left is None or left <= self._lead

    def _stop_all(self, worker: WorkerView) -> None:
        for task in tuple(worker.tasks.values()):
            if task.state in {TaskState.CLAIMED, TaskState.RUNNING}:
                self._orders.stop(task, 'the worker is draining')
