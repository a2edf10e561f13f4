"""Groups serving tasks on workers by the filling images that disturb them."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from chiveworks.base import Clock, Resources, WorkerId
from chiveworks.dispatch._interference_model import InterferenceModel
from chiveworks.dispatch._orders import Orders
from chiveworks.dispatch._placer import Placer
from chiveworks.dispatch._room_checks import NO_RESOURCES, fits
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.workflow import StepRun, StepSpec, Task, TaskState

#: Interval at which moves are planned.
CHECK_INTERVAL: Final = timedelta(milliseconds=400)
#: Maximum number of concurrent moves, so that few serving tasks are unavailable. An
#: exchange, which counts as two moves, may exceed it by one.
MAX_MOVES: Final = 8
#: Time after which a move is abandoned. A move takes a stop, a report, a claim and a
#: start.
MOVE_TIMEOUT: Final = timedelta(seconds=4)
#: Minimum time between two moves of a task.
MOVE_COOLDOWN: Final = timedelta(seconds=20)
#: Minimum time that a task has run before it is moved.
MIN_RUN_TIME: Final = timedelta(seconds=2)
_FULL: Final = 100


@dataclass(frozen=True, slots=True)
class _Move:
    task: Task
    source: WorkerView
    target: WorkerView
    began_at: timedelta


class Consolidator:
    """Moves serving tasks to workers whose serving tasks tolerate the same images.

    Few filling tasks can run on a worker whose serving tasks are disturbed by
    different filling images. A serving task is misplaced if it differs in this from
    the majority of the serving tasks on its worker. A misplaced task is moved to a
    worker with a matching majority, or exchanged with a misplaced task there, at most
    one task per step at a time.

    A move keeps room unused until its task has been stopped and starts again. No move
    begins if an interrupted lasting task would fit there.

    Args:
        clock: Source of time.
        log: Event log for moves.
        workers: Workers by id.
        orders: Sends the stops.
        placer: Tells which workers accept tasks.
        model: Interference model.
        filling_tasks_wait: Tells whether filling tasks are waiting for capacity.
        smallest_interrupted: Returns the smallest lasting step that waits for room after
            a run has ended, if there is one.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        workers: dict[WorkerId, WorkerView],
        orders: Orders,
        placer: Placer,
        model: InterferenceModel,
        filling_tasks_wait: Callable[[], bool],
        smallest_interrupted: Callable[[], StepSpec | None],
    ) -> None:
        self._clock = clock
        self._log = log
        self._workers = workers
        self._orders = orders
        self._placer = placer
        self._model = model
        self._filling_tasks_wait = filling_tasks_wait
        self._smallest_interrupted = smallest_interrupted
        self._interrupted: StepSpec | None = None
        self._checked_at = timedelta()
        self._moves: dict[StepRun, _Move] = {}
        self._moved_at: dict[Task, timedelta] = {}

    def check(self) -> None:
        """Ends completed or overdue moves and begins new ones."""
        now = self._clock.monotonic()
        if now - self._checked_at < CHECK_INTERVAL:
            return
        self._checked_at = now
        self._end_moves(now)
        if len(self._moves) < MAX_MOVES and self._filling_tasks_wait():
            self._begin_moves(now)

    def _end_moves(self, now: timedelta) -> None:
        for run, move in tuple(self._moves.items()):
            task = move.task
            abandoned = now - move.began_at > MOVE_TIMEOUT or run.job.state.terminal
            if abandoned or (task.reserved_worker is None and _is_working(task)):
                self._moves.pop(run)
                if task.reserved_worker == move.target.worker_id:
                    self._placer.free_reservation(task)
        cooled_down = [
            task for task, at in self._moved_at.items() if now - at > MOVE_COOLDOWN
        ]
        for task in cooled_down:
            self._moved_at.pop(task)

    def _begin_moves(self, now: timedelta) -> None:
        self._interrupted = self._smallest_interrupted()
        majorities = {
            worker: image
            for worker in self._placer.available_workers()
            if (image := _majority(worker))
        }
        misplaced = [
            task
            for worker, image in majorities.items()
            for task in worker.tasks.values()
            if self._model.differs(task.spec.image, image) and self._movable(task, now)
        ]
        misplaced.sort(key=lambda task: -task.spec.demand.cpu_millicores)
        for task in misplaced:
            if len(self._moves) >= MAX_MOVES:
                return
            if task.step_run not in self._moves:
                self._try_move(task, misplaced, majorities, now)

    def _try_move(
        self,
        task: Task,
        misplaced: Iterable[Task],
        majorities: dict[WorkerView, str],
        now: timedelta,
    ) -> None:
        source = self._workers[task.worker or WorkerId('')]
        for target in self._suitable_targets(task, majorities):
            if fits(target, task.spec) and not self._is_wanted(target):
                self._move(task, source, target, now)
                return
        for target in self._suitable_targets(task, majorities):
            for other in self._exchange_partners(task, target, misplaced, majorities):
                self._move(task, source, target, now)
                self._move(other, target, source, now)
                return

    def _suitable_targets(
        self, task: Task, majorities: dict[WorkerView, str]
    ) -> Iterator[WorkerView]:
        """Yields the workers whose majority tolerates the same images as a task."""
        for worker, image in majorities.items():
            matches = not self._model.differs(task.spec.image, image)
            if matches and self._placer.may_take(worker, task):
                yield worker

    def _exchange_partners(
        self,
        task: Task,
        target: WorkerView,
        misplaced: Iterable[Task],
        majorities: dict[WorkerView, str],
    ) -> Iterator[Task]:
        """Yields the tasks on a target that a task could be exchanged with."""
        source = self._workers[task.worker or WorkerId('')]
        for other in misplaced:
            if (
                other.worker == target.worker_id
                and other.step_run not in self._moves
                and other.step_run is not task.step_run
                and not self._model.differs(other.spec.image, majorities[source])
                and self._placer.may_take(source, other)
                and fits(target, task.spec, without=other.spec.demand)
                and fits(source, other.spec, without=task.spec.demand)
                and not self._is_wanted(target, other.spec.demand)
                and not self._is_wanted(source, task.spec.demand)
            ):
                yield other

    def _is_wanted(self, worker: WorkerView, freed: Resources = NO_RESOURCES) -> bool:
        """Tells whether an interrupted task could use the room on a worker.

        Args:
            worker: The worker.
            freed: Claims on the worker that a move frees.
        """
        spec = self._interrupted
        return spec is not None and fits(worker, spec, without=freed)

    def _move(
        self, task: Task, source: WorkerView, target: WorkerView, now: timedelta
    ) -> None:
        self._moves[task.step_run] = _Move(task, source, target, now)
        self._moved_at[task] = now
        task.reserved_worker = target.worker_id
        task.reserved_at = now
        target.reserve(task)
        self._log.write(
            'serving_task_moved',
            job=task.ref.job_id,
            task=task.ref[1:],
            image=task.spec.image,
            worker=source.worker_id,
            target=target.worker_id,
        )
        self._orders.stop(task, 'moved to a worker with similar serving tasks')

    def _movable(self, task: Task, now: timedelta) -> bool:
        """Whether a task may move now: no other task of its step is unavailable.

        The smallest limit of unavailable tasks that a step can declare is one; steps
        without a limit are treated the same.
        """
        run = task.step_run
        return (
            task.spec.serves
            and task.spec.long_running
            and task not in self._moved_at
            and run not in self._moves
            and now - (task.started_at or now) >= MIN_RUN_TIME
            and all(
                _is_working(each) and self._is_reachable(each) for each in run.tasks
            )
        )

    def _is_reachable(self, task: Task) -> bool:
        worker = self._workers.get(task.worker or WorkerId(''))
        return worker is not None and worker.live


def _majority(worker: WorkerView) -> str:
    """Returns the serving image with the most claimed processors; empty when none."""
    claimed: Counter[str] = Counter()
    for task in worker.tasks.values():
        if task.spec.serves:
            claimed[task.spec.image] += task.spec.demand.cpu_millicores
    return claimed.most_common(1)[0][0] if claimed else ''


def _is_working(task: Task) -> bool:
    return task.state is TaskState.RUNNING and task.progress_percent == _FULL
