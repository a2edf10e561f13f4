"""Keeps filling tasks from pushing serving ones over their latency target."""

from datetime import timedelta
from typing import Final

from chiveworks.base import Clock, WorkerId
from chiveworks.dispatch._orders import Orders
from chiveworks.dispatch._pressure_model import PressureModel
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import Task, TaskState

#: Headroom below which filling tasks are slowed down.
LOW_HEADROOM: Final = 1.12
#: Headroom above which they are sped up again.
HIGH_HEADROOM: Final = 1.5
#: Headroom below which filling tasks stand still at once.
MISSED_HEADROOM: Final = 0.75
#: Loss of headroom from which a filling task counts as a cause.
NOTABLE_LOSS: Final = 0.05
#: Pace after a first report below the limit.
SLOW_PACE_PERCENT: Final = 25
#: Added to the pace after each calm interval.
RECOVERY_PERCENT: Final = 25
#: Least time between two changes on a worker: a change shows in the figures, which
#: cover half a second, only after that.
CHANGE_GAP: Final = timedelta(milliseconds=600)
_FULL: Final = 100
_MILLISECOND: Final = timedelta(milliseconds=1)


class InterferenceGuard:
    """Learns from reports and paces the filling tasks that disturb most.

    Args:
        clock: Source of time.
        orders: Sends the paces.
        model: What is known of the images.
    """

    def __init__(self, clock: Clock, orders: Orders, model: PressureModel) -> None:
        self._clock = clock
        self._orders = orders
        self._model = model
        self._changed_at: dict[WorkerId, timedelta] = {}

    def observe(self, worker: WorkerView) -> bool:
        """Reacts to a report; tells whether the worker needs close watching."""
        fills = [task for task in worker.tasks.values() if _fills(task)]
        serving = [task for task in worker.tasks.values() if _serves(task)]
        if not serving:
            return self._speed_up(worker, fills)
        self._learn(worker, serving, fills)
        worst = min(serving, key=_headroom)
        headroom = _headroom(worst)
        if not fills or self._settling(worker):
            return bool(fills) and headroom < HIGH_HEADROOM
        if headroom < LOW_HEADROOM:
            self._slow_down(worker, worst, fills)
        elif headroom > HIGH_HEADROOM:
            self._speed_up(worker, fills)
        return headroom < HIGH_HEADROOM or any(
            task.pace_percent < _FULL for task in fills
        )

    def _learn(
        self, worker: WorkerView, serving: list[Task], fills: list[Task]
    ) -> None:
        capacity = worker.info.capacity.cpu_millicores or 1
        loads: dict[str, float] = {}
        for task in fills:
            image = task.spec.image
            loads[image] = loads.get(image, 0) + task.measured / capacity
        for task in serving:
            self._model.partial_fit(task.spec.image, loads, _headroom(task))
        self._model.refresh(self._clock.monotonic())

    def _slow_down(
        self, worker: WorkerView, worst: Task, fills: list[Task]
    ) -> None:
        capacity = worker.info.capacity.cpu_millicores or 1
        causes = [
            task
            for task in fills
            if task.pace_percent > 0
            and self._loss(worst, task, capacity) > NOTABLE_LOSS
        ]
        stand_still = _headroom(worst) < MISSED_HEADROOM
        for task in causes or [each for each in fills if each.pace_percent > 0]:
            slowed = stand_still or task.pace_percent <= SLOW_PACE_PERCENT
            self._set_pace(worker, task, 0 if slowed else SLOW_PACE_PERCENT)

    def _loss(self, serving: Task, filling: Task, capacity: int) -> float:
        weight = self._model.weight(serving.spec.image, filling.spec.image)
        return weight * filling.spec.demand.cpu_millicores / capacity

    def _speed_up(self, worker: WorkerView, fills: list[Task]) -> bool:
        slow = [task for task in fills if task.pace_percent < _FULL]
        for task in slow:
            pace = min(max(task.pace_percent, 0) + RECOVERY_PERCENT, _FULL)
            self._set_pace(worker, task, pace)
        return bool(slow)

    def _set_pace(self, worker: WorkerView, task: Task, percent: int) -> None:
        self._changed_at[worker.worker_id] = self._clock.monotonic()
        self._orders.set_pace(worker, task, percent)

    def _settling(self, worker: WorkerView) -> bool:
        since = self._changed_at.get(worker.worker_id)
        return since is not None and self._clock.monotonic() - since < CHANGE_GAP


def _fills(task: Task) -> bool:
    return task.spec.fills and task.state is TaskState.RUNNING


def _serves(task: Task) -> bool:
    return (
        task.spec.serves
        and task.state is TaskState.RUNNING
        and task.progress_percent == _FULL
        and task.measured > 0
    )


def _headroom(task: Task) -> float:
    """Returns the latency target over the tail latency."""
    return task.spec.latency_target / _MILLISECOND / task.measured
