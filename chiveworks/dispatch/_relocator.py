"""Moves lasting tasks away from workers that are about to leave."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from operator import itemgetter
from typing import Final

from chiveworks.base import Clock, WorkerId
from chiveworks.dispatch._drainer import STOP_MARGIN
from chiveworks.dispatch._orders import Orders
from chiveworks.dispatch._placer import Placer
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.workflow import StepRun, Task, TaskState

#: Interval at which moves are begun and checked.
CHECK_INTERVAL: Final = timedelta(milliseconds=200)
#: Maximum number of searches for a worker in one check, which bounds its duration.
MAX_SEARCHES: Final = 8
#: Pause after an unsuccessful search for a task of a step, in which others have a turn.
SEARCH_PAUSE: Final = timedelta(seconds=1)
#: Time in which another process takes over from a leader that fails: its lease ends, and
#: the state is recovered.
TAKEOVER_TIME: Final = timedelta(seconds=2)
#: Time after which the room that is reserved for a move is given up.
MOVE_TIMEOUT: Final = timedelta(seconds=4)


@dataclass(frozen=True, slots=True)
class _Move:
    target: WorkerView
    began_at: timedelta


class Relocator:
    """Moves lasting tasks to workers with room before their worker leaves.

    They move so early that another process can still stop them if this leader fails. An
    even earlier move would take room from other tasks while that on the worker cannot be
    used. Of each step, no more tasks are away at the same time than the step allows, and
    at least one may be. Tasks for which there is no room stay until `Drainer` stops them.

    Args:
        clock: Source of time.
        log: Event log for moves.
        workers: Workers by id.
        orders: Sends the stops.
        placer: Chooses the targets.
        candidates_of: Returns the workers on which tasks of a step may start.
        stop_limit: Longest time that a worker takes for a stop.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        workers: dict[WorkerId, WorkerView],
        orders: Orders,
        placer: Placer,
        candidates_of: Callable[[StepRun], list[WorkerView]],
        stop_limit: timedelta,
    ) -> None:
        self._clock = clock
        self._log = log
        self._workers = workers
        self._orders = orders
        self._placer = placer
        self._candidates_of = candidates_of
        self._lead = stop_limit + STOP_MARGIN + TAKEOVER_TIME
        self._moves: dict[Task, _Move] = {}
        self._searched_at: dict[StepRun, timedelta] = {}
        self._checked_at = timedelta()

    def check(self) -> None:
        """Ends completed or overdue moves and begins new ones."""
        now = self._clock.monotonic()
        if now - self._checked_at < CHECK_INTERVAL:
            return
        self._checked_at = now
        self._end_moves(now)
        self._searched_at = {
            run: searched_at
            for run, searched_at in self._searched_at.items()
            if now - searched_at < SEARCH_PAUSE
        }
        spare: dict[StepRun, int] = {}
        searches = 0
        for task in self._tasks_on_leaving_workers(now):
            run = task.step_run
            if run not in spare:
                spare[run] = self._count_spare(run)
            if spare[run] <= 0 or run in self._searched_at or not _may_move(task):
                continue
            if not self._placer.permits(task):
                # It could not start on the target.
                continue
            if searches == MAX_SEARCHES:
                return
            searches += 1
            spare[run] -= self._try_move(task, now)

    def _end_moves(self, now: timedelta) -> None:
        for task, move in tuple(self._moves.items()):
            kept = task.reserved_worker == move.target.worker_id
            overdue = now - move.began_at > MOVE_TIMEOUT
            if kept and not overdue and not task.step_run.job.state.terminal:
                continue
            self._moves.pop(task)
            move.target.free_reservation(task)
            if kept:
                self._placer.free_reservation(task)

    def _tasks_on_leaving_workers(self, now: timedelta) -> list[Task]:
        """Returns the tasks on workers that leave soon, the most urgent ones first."""
        leaving = []
        for worker in self._workers.values():
            if worker.live and worker.info.draining:
                # A worker that does not say when it leaves may do so at any time.
                left = worker.time_to_departure(now) or timedelta()
                if left <= self._lead:
                    leaving.append((left, worker))
        leaving.sort(key=itemgetter(0))
        return [task for _, each in leaving for task in each.tasks.values()]

    def _count_spare(self, run: StepRun) -> int:
        """Returns how many further tasks of a step may be away."""
        away = sum(not self._is_present(task) for task in run.tasks)
        return max(run.spec.unavailable_limit, 1) - away

    def _is_present(self, task: Task) -> bool:
        worker = self._placer.worker_of(task)
        is_reached = worker is not None and worker.live
        return is_reached and task.state is TaskState.RUNNING

    def _try_move(self, task: Task, now: timedelta) -> bool:
        run = task.step_run
        candidates = self._candidates_of(run)
        if run.spec.worker_limit:
            # Reserved tasks don't count towards the limit yet.
            candidates = [each for each in candidates if not _has_reserved(each, run)]
        target = self._placer.choose(task, candidates)
        if target is None:
            self._searched_at[run] = now
            return False
        self._moves[task] = _Move(target, now)
        task.reserved_worker = target.worker_id
        task.reserved_at = now
        target.reserve(task)
        self._log.write(
            'lasting_task_moved',
            job=task.ref.job_id,
            task=task.ref[1:],
            worker=task.worker,
            target=target.worker_id,
        )
        self._orders.stop(task, 'moved from a worker that leaves')
        return True


def _may_move(task: Task) -> bool:
    return (
        task.spec.long_running
        and not task.spec.gang
        and task.state is TaskState.RUNNING
        and task.reserved_worker is None
        and not task.step_run.job.state.terminal
    )


def _has_reserved(worker: WorkerView, run: StepRun) -> bool:
    return any(task.step_run is run for task in worker.reservations.values())
