"""Slows filling tasks down while serving tasks beside them miss their target."""

from datetime import timedelta
from typing import Final

from chiveworks.base import Clock
from chiveworks.dispatch._orders import Orders
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import Task, TaskState

#: Share of the latency target above which filling tasks are slowed down.
HIGH_SHARE: Final = 0.9
#: Share below which they are sped up again.
LOW_SHARE: Final = 0.65
#: Factor of the pace at the first report above the limit.
BACK_OFF: Final = 0.4
#: Pace below which filling tasks stand still.
LEAST_PACE_PERCENT: Final = 20
#: Added to the pace after each calm interval.
RECOVERY_PERCENT: Final = 25
#: Least time between two changes of the pace of a worker: a change shows in the
#: figures, which cover half a second, only after that.
CHANGE_GAP: Final = timedelta(milliseconds=600)
_FULL: Final = 100
_MILLISECOND: Final = timedelta(milliseconds=1)


class InterferenceGuard:
    """Sets one pace for all filling tasks of a worker.

    Args:
        clock: Source of time.
        orders: Sends the paces.
    """

    def __init__(self, clock: Clock, orders: Orders) -> None:
        self._clock = clock
        self._orders = orders
        self._changed_at: dict[str, timedelta] = {}

    def observe(self, worker: WorkerView) -> bool:
        """Reacts to a report; tells whether the worker needs close watching."""
        fills = [task for task in worker.tasks.values() if _fills(task)]
        pressure = _pressure(worker)
        pace = self._next_pace(worker, pressure, bool(fills))
        if pace != worker.fill_pace_percent:
            worker.fill_pace_percent = pace
            self._changed_at[worker.worker_id] = self._clock.monotonic()
        for task in fills:
            if task.pace_percent != pace:
                self._orders.set_pace(worker, task, pace)
        return bool(fills) and (pace < _FULL or pressure > LOW_SHARE)

    def _next_pace(
        self, worker: WorkerView, pressure: float, has_fills: bool
    ) -> int:
        pace = worker.fill_pace_percent
        since = self._changed_at.get(worker.worker_id)
        if since is not None and self._clock.monotonic() - since < CHANGE_GAP:
            return pace
        if pressure > HIGH_SHARE and has_fills:
            slowed = int(pace * BACK_OFF)
            return slowed if slowed >= LEAST_PACE_PERCENT else 0
        if pressure < LOW_SHARE:
            return min(pace + RECOVERY_PERCENT, _FULL)
        return pace


def _fills(task: Task) -> bool:
    return task.spec.fills and task.state is TaskState.RUNNING


def _pressure(worker: WorkerView) -> float:
    """Returns the highest tail latency in shares of its target."""
    return max(
        (
            task.measured / (task.spec.latency_target / _MILLISECOND)
            for task in worker.tasks.values()
            if task.spec.serves and task.state is TaskState.RUNNING
        ),
        default=0.0,
    )
