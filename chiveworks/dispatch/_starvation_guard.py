"""Reserves workers for lasting tasks that smaller tasks would keep from running."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from chiveworks.base import Clock
from chiveworks.dispatch._job_table import JobTable
from chiveworks.dispatch._reservable_room import ReservableRoom
from chiveworks.dispatch._room_checks import limit_reached
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.workflow import StepRun, Task, TaskState

#: Interval at which reservations are made and checked.
CHECK_INTERVAL: Final = timedelta(milliseconds=300)
#: Time after which another worker is reserved if the task still does not fit. The
#: platform's rule on lost tasks allows 3 s in which room stays unused.
RESERVATION_LIMIT: Final = timedelta(milliseconds=2500)
#: Maximum share of a service's workers that are reserved, so that most of them stay
#: open to short tasks; at least one may be.
RESERVED_SHARE: Final = 0.125
#: Maximum number of searches for a worker in one check, which bounds its duration.
MAX_SEARCHES: Final = 8
_MILLISECOND: Final = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class _Reservation:
    worker: WorkerView
    made_at: timedelta


class StarvationGuard:
    """Lets room accumulate on a worker until an interrupted lasting task fits there.

    Without a reservation, smaller tasks take each piece of capacity that becomes free.
    A worker is reserved only if the task fits beside the lasting tasks on it, so that
    it is enough to wait for the end of the other ones. These may have a higher priority
    than the lasting task, and wait for the reserved workers too.

    Args:
        clock: Source of time.
        log: Event log for reservations.
        table: Open jobs and their waiting steps.
        candidates_of: Returns the workers on which tasks of a step may start.
        accepting: Returns the workers that accept tasks.
        permits: Tells whether the limit of a task's account permits it to run.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        table: JobTable,
        candidates_of: Callable[[StepRun], list[WorkerView]],
        accepting: Callable[[], list[WorkerView]],
        permits: Callable[[Task], bool],
    ) -> None:
        self._clock = clock
        self._log = log
        self._table = table
        self._candidates_of = candidates_of
        self._accepting = accepting
        self._permits = permits
        self._failed_at: dict[StepRun, timedelta] = {}
        self._reservations: dict[Task, _Reservation] = {}
        self._checked_at = timedelta()

    def check(self) -> None:
        """Ends reservations that are not needed any more and makes new ones."""
        now = self._clock.monotonic()
        if now - self._checked_at < CHECK_INTERVAL:
            return
        self._checked_at = now
        tried = self._end_reservations(now)
        starved = self._starved_tasks(now)
        if starved:
            self._make_reservations(starved, tried, now)

    def _make_reservations(
        self, starved: list[Task], tried: set[WorkerView], now: timedelta
    ) -> None:
        room = ReservableRoom(self._accepting())
        passed_over: set[StepRun] = set()
        searches = 0
        for task in starved:
            run = task.step_run
            if searches == MAX_SEARCHES:
                return
            if run in passed_over or not self._may_reserve(task, room):
                continue
            candidates = self._candidates_of(run)
            if self._limit_reached(candidates):
                passed_over.add(run)
                continue
            searches += 1
            worker = _best_worker(
                task, [each for each in candidates if each not in tried], room
            )
            if worker is None:
                self._failed_at[run] = now
                passed_over.add(run)
            else:
                self._failed_at.pop(run, None)
                self._reserve(worker, task, now)

    def _end_reservations(self, now: timedelta) -> set[WorkerView]:
        """Ends reservations; returns the workers that were reserved for too long."""
        tried = set()
        for task, reservation in tuple(self._reservations.items()):
            worker = reservation.worker
            kept = task.reserved_worker == worker.worker_id
            overdue = now - reservation.made_at > RESERVATION_LIMIT
            if kept and not overdue and _waits(task) and self._permits(task):
                continue
            self._reservations.pop(task)
            worker.free_reservation(task)
            if kept:
                task.reserved_worker = None
                tried.add(worker)
        return tried

    def _starved_tasks(self, now: timedelta) -> list[Task]:
        """Returns the tasks that need a reservation, in the order of the searches.

        Steps for which a search has failed come last, so that they do not keep others
        from being searched for.
        """
        ready = self._table.ready
        self._failed_at = {
            run: at for run, at in self._failed_at.items() if run in ready
        }
        starved = [
            task
            for run in ready
            if run.interrupted_at is not None and not run.spec.gang
            for task in run.waiting()
            if _is_starved(task, now)
        ]
        return sorted(starved, key=self._rank)

    def _rank(self, task: Task) -> tuple[timedelta, int, timedelta]:
        failed_at = self._failed_at.get(task.step_run, timedelta())
        return failed_at, task.step_run.job.queue.priority, task.waiting_since

    def _may_reserve(self, task: Task, room: ReservableRoom) -> bool:
        # Each reservation counts towards the limit of its account.
        return room.may_suffice(task.spec.demand) and self._permits(task)

    def _limit_reached(self, candidates: Sequence[WorkerView]) -> bool:
        reserved = {each.worker for each in self._reservations.values()}
        count = sum(worker in reserved for worker in candidates)
        return count >= max(1, int(RESERVED_SHARE * len(candidates)))

    def _reserve(self, worker: WorkerView, task: Task, now: timedelta) -> None:
        worker.reserve(task)
        task.reserved_worker = worker.worker_id
        task.reserved_at = now
        self._reservations[task] = _Reservation(worker, now)
        self._log.write(
            'worker_reserved',
            job=task.ref.job_id,
            task=task.ref[1:],
            queue=task.step_run.job.queue.name,
            worker=worker.worker_id,
            waiting_ms=(now - task.waiting_since) // _MILLISECOND,
        )


def _is_starved(task: Task, now: timedelta) -> bool:
    has_waited = now - task.waiting_since >= CHECK_INTERVAL
    return bool(task.attempt) and task.reserved_worker is None and has_waited


def _waits(task: Task) -> bool:
    return task.state is TaskState.WAITING and not task.step_run.job.state.terminal


def _best_worker(
    task: Task, candidates: Sequence[WorkerView], room: ReservableRoom
) -> WorkerView | None:
    """Returns the worker that lacks least for a task which it can hold, if any."""
    suitable = [
        worker
        for worker in candidates
        if room.suffices(worker, task.spec.demand)
        and not limit_reached(worker, task.step_run)
    ]
    return min(suitable, key=lambda each: _shortage(each, task), default=None)


def _shortage(worker: WorkerView, task: Task) -> float:
    """Returns the share of a worker that must become free for a task."""
    capacity, demand = worker.info.capacity, task.spec.demand
    missing_cpu = (
        worker.allocated.cpu_millicores
        + demand.cpu_millicores
        - capacity.cpu_millicores
    )
    missing_memory = (
        worker.allocated.memory_bytes + demand.memory_bytes - capacity.memory_bytes
    )
    return max(
        missing_cpu / (capacity.cpu_millicores or 1),
        missing_memory / (capacity.memory_bytes or 1),
    )
