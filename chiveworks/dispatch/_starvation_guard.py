"""Reserves workers for lasting tasks that smaller tasks would keep from running."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from chiveworks.base import Clock, Resources
from chiveworks.dispatch._job_table import JobTable
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
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        table: JobTable,
        candidates_of: Callable[[StepRun], list[WorkerView]],
    ) -> None:
        self._clock = clock
        self._log = log
        self._table = table
        self._candidates_of = candidates_of
        self._reservations: dict[Task, _Reservation] = {}
        self._checked_at = timedelta()

    def check(self) -> None:
        """Ends reservations that are not needed any more and makes new ones."""
        now = self._clock.monotonic()
        if now - self._checked_at < CHECK_INTERVAL:
            return
        self._checked_at = now
        tried = self._end_reservations(now)
        lasting: dict[WorkerView, Resources] = {}
        unsuccessful: set[StepRun] = set()
        searches = 0
        for task in self._starved_tasks(now):
            if searches == MAX_SEARCHES:
                return
            if task.step_run not in unsuccessful:
                searches += 1
                self._reserve_for(task, tried, lasting, now)
                if task.reserved_worker is None:
                    unsuccessful.add(task.step_run)

    def _end_reservations(self, now: timedelta) -> set[WorkerView]:
        """Ends reservations; returns the workers that were reserved for too long."""
        tried = set()
        for task, reservation in tuple(self._reservations.items()):
            worker = reservation.worker
            kept = task.reserved_worker == worker.worker_id
            overdue = now - reservation.made_at > RESERVATION_LIMIT
            if kept and not overdue and _waits(task):
                continue
            self._reservations.pop(task)
            worker.free_reservation(task)
            if kept:
                task.reserved_worker = None
                tried.add(worker)
        return tried

    def _starved_tasks(self, now: timedelta) -> list[Task]:
        starved = [
            task
            for run in self._table.ready
            if run.interrupted_at is not None and not run.spec.gang
            for task in run.waiting()
            if _is_starved(task, now)
        ]
        return sorted(starved, key=_rank)

    def _reserve_for(
        self,
        task: Task,
        tried: set[WorkerView],
        lasting: dict[WorkerView, Resources],
        now: timedelta,
    ) -> None:
        candidates = self._candidates_of(task.step_run)
        if self._reserved_count(candidates) >= max(
            1, int(RESERVED_SHARE * len(candidates))
        ):
            return
        suitable = [
            worker
            for worker in candidates
            if worker not in tried and _can_hold(worker, task, lasting)
        ]
        if not suitable:
            return
        worker = min(suitable, key=lambda each: _shortage(each, task))
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

    def _reserved_count(self, candidates: Sequence[WorkerView]) -> int:
        reserved = {each.worker for each in self._reservations.values()}
        return sum(worker in reserved for worker in candidates)


def _rank(task: Task) -> tuple[int, timedelta]:
    return task.step_run.job.queue.priority, task.waiting_since


def _is_starved(task: Task, now: timedelta) -> bool:
    has_waited = now - task.waiting_since >= CHECK_INTERVAL
    return bool(task.attempt) and task.reserved_worker is None and has_waited


def _waits(task: Task) -> bool:
    return task.state is TaskState.WAITING and not task.step_run.job.state.terminal


def _can_hold(
    worker: WorkerView, task: Task, lasting: dict[WorkerView, Resources]
) -> bool:
    """Whether a task fits on a worker once the tasks that are not lasting have ended.

    `lasting` caches the resources of the lasting tasks, by worker.
    """
    if worker.reservations or limit_reached(worker, task.step_run):
        return False
    if worker not in lasting:
        lasting[worker] = _lasting_demand(worker)
    return (lasting[worker] + task.spec.demand).fits_in(worker.info.capacity)


def _lasting_demand(worker: WorkerView) -> Resources:
    total = Resources()
    for task in worker.tasks.values():
        if task.spec.long_running:
            total += task.spec.demand
    return total


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
