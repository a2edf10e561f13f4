"""Keeps filling tasks from pushing serving tasks over their latency target."""

from dataclasses import replace
from datetime import timedelta
from typing import Final

from chiveworks.base import Clock, WorkerId
from chiveworks.dispatch._interference_forecast import KEPT_HEADROOM
from chiveworks.dispatch._interference_model import InterferenceModel
from chiveworks.dispatch._orders import Orders
from chiveworks.dispatch._pace_plan import FillingLoad, lower_paces, raise_paces
from chiveworks.dispatch._placer import Placer
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import Task, TaskState

#: Expected headroom below which filling tasks are paused.
LOW_HEADROOM: Final = 1.12
#: Headroom that pausing aims for, and that must remain after a task is resumed.
TARGET_HEADROOM: Final = 1.3
#: Headroom from which a worker needs no frequent polling.
SAFE_HEADROOM: Final = 1.6
#: Time above the latency target after which all filling tasks are paused, whether
#: or not they are a known cause.
ESCALATION_DELAY: Final = timedelta(milliseconds=1200)
#: Minimum time between two changes on a worker. Reported latencies cover half a
#: second, so the effect of a change is visible only after that.
MIN_CHANGE_INTERVAL: Final = timedelta(milliseconds=600)
#: Forecast of the baseline headroom used for pausing: covers the time until the next
#: report and until an order takes effect.
PAUSE_HORIZON: Final = timedelta(milliseconds=600)
#: Forecast used for the spare headroom that placement relies on: most filling tasks
#: run for about 2 s.
PLACEMENT_HORIZON: Final = timedelta(milliseconds=2000)
#: Progress up to which a task without checkpoints is moved instead of only paused.
MOVABLE_PERCENT: Final = 40
#: Pace up to which a task with checkpoints is moved. A move takes about half a second.
SLOW_PERCENT: Final = 50
_FULL: Final = 100
_MILLISECOND: Final = timedelta(milliseconds=1)


class InterferenceGuard:
    """Learns from reports and slows down or moves the most disturbing filling tasks.

    Args:
        clock: Source of time.
        orders: Sends pace changes and stops.
        placer: Tells whether another worker suits a task better.
        model: Interference model.
    """

    def __init__(
        self, clock: Clock, orders: Orders, placer: Placer, model: InterferenceModel
    ) -> None:
        self._clock = clock
        self._orders = orders
        self._placer = placer
        self._model = model
        self._changed_at: dict[WorkerId, timedelta] = {}
        self._missed_since: dict[WorkerId, timedelta] = {}

    def observe(self, worker: WorkerView) -> bool:
        """Handles a report; tells whether the worker needs frequent polling."""
        filling = [
            task for task in worker.tasks.values() if _is_running_filling_task(task)
        ]
        serving = [
            task for task in worker.tasks.values() if _is_reporting_serving_task(task)
        ]
        loads = _loads(worker, filling)
        now = self._clock.monotonic()
        spare: dict[str, float] = {}
        for serving_task in serving:
            self._learn(serving_task, loads, now, spare)
        worker.update_spare_headroom(spare)
        if not filling:
            return False
        expected = {each: self._expected(each, loads) for each in serving}
        worst = min(serving, key=lambda each: expected[each], default=None)
        headroom = expected[worst] if worst else SAFE_HEADROOM
        self._track_missed_target(
            worker, min(map(_headroom, serving), default=SAFE_HEADROOM)
        )
        if not self._recently_changed(worker):
            low = headroom < LOW_HEADROOM or self._escalated(worker)
            if worst and low:
                self._slow_down(worker, expected, filling)
            else:
                self._speed_up(worker, expected, filling)
        return headroom < SAFE_HEADROOM or any(
            task.pace_percent < _FULL for task in filling
        )

    def _learn(
        self,
        task: Task,
        loads: dict[str, float],
        now: timedelta,
        spare: dict[str, float],
    ) -> None:
        """Updates the model, and lowers the spare headroom of the task's image.

        Headroom is spare if the task keeps `KEPT_HEADROOM` without it.
        """
        image = task.spec.image
        self._model.partial_fit(task.ref, image, loads, _headroom(task), now)
        left = self._model.baseline(task.ref, image, PLACEMENT_HORIZON) - KEPT_HEADROOM
        spare[image] = min(spare.get(image, left), left)

    def _expected(self, task: Task, loads: dict[str, float]) -> float:
        """Returns the lowest headroom of a task expected until a pause takes effect."""
        image = task.spec.image
        lost = sum(
            self._model.weight(image, filling) * share
            for filling, share in loads.items()
        )
        return self._model.baseline(task.ref, image, PAUSE_HORIZON) - lost

    def _slow_down(
        self, worker: WorkerView, expected: dict[Task, float], filling: list[Task]
    ) -> None:
        """Lowers the pace of filling tasks until serving tasks have enough headroom."""
        loads = self._filling_loads(worker, list(expected), filling)
        paces = lower_paces(
            loads, [headroom - TARGET_HEADROOM for headroom in expected.values()]
        )
        if self._escalated(worker):
            paces = [0 for _task in filling]
        elif min(map(_headroom, expected)) < 1:
            self._force_pause(expected, loads, paces)
        for task, pace in zip(filling, paces, strict=True):
            if pace != _known_pace(task):
                self._set_pace(worker, task, pace)
                self._move_if_slow(
                    worker, task, 'the task interferes with serving tasks'
                )

    def _force_pause(
        self,
        expected: dict[Task, float],
        loads: list[FillingLoad],
        paces: list[int],
    ) -> None:
        """Pauses the most likely cause of a missed target.

        Its loss may be small or uncertain; the next reports show whether it was the cause.
        """
        serving = list(expected)
        worst = serving.index(min(serving, key=lambda each: expected[each]))
        working = [position for position, pace in enumerate(paces) if pace]
        if working:
            cause = max(working, key=lambda position: loads[position].losses[worst])
            if paces[cause] == loads[cause].pace_percent:
                paces[cause] = 0

    def _speed_up(
        self, worker: WorkerView, expected: dict[Task, float], filling: list[Task]
    ) -> None:
        """Raises the pace of filling tasks while serving tasks keep enough headroom."""
        if all(task.pace_percent == _FULL for task in filling):
            return
        filling = sorted(filling, key=_tasks_left)
        # The headroom for all of an unknown pace must be there before it is set.
        loads = [
            replace(load, pace_percent=max(task.pace_percent, 0))
            for task, load in zip(
                filling,
                self._filling_loads(worker, list(expected), filling),
                strict=True,
            )
        ]
        paces = raise_paces(
            loads, [headroom - TARGET_HEADROOM for headroom in expected.values()]
        )
        for task, pace in zip(filling, paces, strict=True):
            if task.pace_percent == _FULL:
                continue
            if pace > max(task.pace_percent, 0):
                self._set_pace(worker, task, pace)
            self._move_if_slow(worker, task, 'another worker suits the task better')

    def _filling_loads(
        self, worker: WorkerView, serving: list[Task], filling: list[Task]
    ) -> list[FillingLoad]:
        return [
            FillingLoad(
                [self._loss(worker, each, task) for each in serving], _known_pace(task)
            )
            for task in filling
        ]

    def _move_if_slow(self, worker: WorkerView, task: Task, reason: str) -> None:
        """Stops a task that would be done earlier elsewhere, if there is a worker."""
        pace = task.pace_percent
        loses_little = (
            pace <= SLOW_PERCENT
            if task.spec.checkpointed
            else pace == 0 and task.progress_percent <= MOVABLE_PERCENT
        )
        if loses_little and self._placer.has_better_worker(worker, task):
            self._orders.stop(task, reason)

    def _loss(self, worker: WorkerView, serving: Task, filling: Task) -> float:
        weight = self._model.weight(serving.spec.image, filling.spec.image)
        capacity = worker.info.capacity.cpu_millicores or 1
        return weight * filling.spec.demand.cpu_millicores / capacity

    def _track_missed_target(self, worker: WorkerView, headroom: float) -> None:
        if headroom < 1:
            now = self._clock.monotonic()
            self._missed_since.setdefault(worker.worker_id, now)
        else:
            self._missed_since.pop(worker.worker_id, None)

    def _escalated(self, worker: WorkerView) -> bool:
        since = self._missed_since.get(worker.worker_id)
        return since is not None and self._clock.monotonic() - since >= ESCALATION_DELAY

    def _set_pace(self, worker: WorkerView, task: Task, percent: int) -> None:
        self._changed_at[worker.worker_id] = self._clock.monotonic()
        self._orders.set_pace(worker, task, percent)

    def _recently_changed(self, worker: WorkerView) -> bool:
        since = self._changed_at.get(worker.worker_id)
        return (
            since is not None and self._clock.monotonic() - since < MIN_CHANGE_INTERVAL
        )


def _loads(worker: WorkerView, filling: list[Task]) -> dict[str, float]:
    """Returns the share of the processors used by filling tasks, by image."""
    capacity = worker.info.capacity.cpu_millicores or 1
    loads: dict[str, float] = {}
    for task in filling:
        image = task.spec.image
        loads[image] = loads.get(image, 0) + task.measured / capacity
    return loads


def _known_pace(task: Task) -> int:
    """Returns the pace of a task; full pace if the last order was not confirmed."""
    return task.pace_percent if task.pace_percent >= 0 else _FULL


def _tasks_left(task: Task) -> int:
    run = task.step_run
    return run.spec.count - run.done_count


def _is_running_filling_task(task: Task) -> bool:
    return task.spec.fills and task.state is TaskState.RUNNING


def _is_reporting_serving_task(task: Task) -> bool:
    return (
        task.spec.serves
        and task.state is TaskState.RUNNING
        and task.progress_percent == _FULL
        and task.measured > 0
    )


def _headroom(task: Task) -> float:
    """Returns the latency target divided by the reported tail latency."""
    return task.spec.latency_target / _MILLISECOND / task.measured
