"""Forecast of the room on near workers during a round of assignment."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from chiveworks.base import RackName, Resources, WorkerId
from chiveworks.dispatch._room_checks import limit_reached
from chiveworks.dispatch._run_lateness import RunLateness, starts_at_zero
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.locality import NearPlace, NearSlots, ObservedRun, Release
from chiveworks.workflow import StepRun, Task

#: Time ahead within which the tasks ahead are counted. Waits are shorter: a remote run
#: of the steps on the platform takes a few seconds longer at most.
HORIZON: Final = timedelta(seconds=10)
#: Maximum number of tasks ahead that are counted for a rack. The time of a booking grows
#: with those before it on a worker: 1,000 take 0.09 s, 4,000 take 1 s.
MAX_AHEAD: Final = 500


@dataclass(slots=True)
class _Forecast:
    """Expected room on a worker.

    Attributes:
        worker: The worker.
        place: Its room, less what the tasks ahead take.
        free: Its free resources when the place was last updated.
        version: The worker's version at that time.
    """

    worker: WorkerView
    place: NearPlace
    free: Resources
    version: int


class NearRoom:
    """Expected room on workers, less what more urgent tasks will take.

    A worker's runs are looked at once a round at most, and only if a task that could
    start elsewhere wants to run near it.

    Args:
        lateness: Expected durations of runs.
        candidates_of: Returns the workers of a service on which tasks of a step may
            start; ignores capacity.
    """

    def __init__(
        self,
        lateness: RunLateness,
        candidates_of: Callable[[StepRun, str], Iterable[WorkerView]],
    ) -> None:
        self._now = timedelta()
        self._lateness = lateness
        self._candidates_of = candidates_of
        self._forecasts: dict[WorkerId, _Forecast] = {}
        self._ahead: defaultdict[tuple[str, RackName], list[StepRun]]
        self._ahead = defaultdict(list)

    def begin_round(self, now: timedelta, *, continues: bool) -> None:
        """Drops the forecasts.

        If the last round goes on, the tasks ahead and the forecasts for workers that
        have not changed are kept.
        """
        self._now = now
        if not continues:
            self._forecasts.clear()
            self._ahead.clear()
            return
        self._forecasts = {
            worker_id: forecast
            for worker_id, forecast in self._forecasts.items()
            if forecast.version == forecast.worker.version
        }

    def add_ahead(self, run: StepRun, service: str, rack: RackName) -> None:
        """Counts the waiting tasks of a step for a rack ahead of the following steps."""
        self._ahead[service, rack].append(run)

    def slots(
        self,
        run: StepRun,
        service: str,
        workers: Sequence[WorkerView],
        *,
        idle: bool = False,
    ) -> NearSlots:
        """Returns the slots that the tasks ahead leave to a step on workers of a rack.

        Args:
            run: The step.
            service: Service that runs the job's tasks.
            workers: Workers of one rack.
            idle: Whether room that is free now counts.
        """
        racks = {worker.info.rack for worker in workers}
        for rack in racks:
            self._book_ahead(service, rack)
        return self._open_slots(run, workers, idle=idle)

    def book(self, workers: Sequence[WorkerView], slots: NearSlots) -> None:
        """Counts the bookings in slots that were returned for workers."""
        for worker, place in zip(workers, slots.places(), strict=True):
            self._forecasts[worker.worker_id].place = place

    def _open_slots(
        self, run: StepRun, workers: Sequence[WorkerView], *, idle: bool
    ) -> NearSlots:
        spec = run.spec
        return NearSlots(
            [self._place(worker) for worker in workers],
            spec.demand,
            spec.estimate,
            self._now,
            idle=idle,
            frees=not (spec.gang or spec.long_running),
            place_limit=spec.worker_limit,
        )

    def _book_ahead(self, service: str, rack: RackName) -> None:
        left = MAX_AHEAD
        for run in self._ahead.pop((service, rack), ()):
            if not left:
                return
            workers = near_workers(run, rack, self._candidates_of(run, service))
            slots = self._open_slots(run, workers, idle=False)
            left -= self._book_waiting(run, slots, left)
            self.book(workers, slots)

    def _book_waiting(self, run: StepRun, slots: NearSlots, limit: int) -> int:
        """Books slots for the first `limit` waiting tasks; returns for how many."""
        latest = self._now + HORIZON
        booked = 0
        for _ in run.waiting()[:limit]:
            slot = slots.book()
            if slot is None or slot.starts_at > latest:
                break
            booked += 1
        return booked

    def _place(self, worker: WorkerView) -> NearPlace:
        """Returns the forecast for a worker, with the claims of the round so far."""
        forecast = self._forecasts.get(worker.worker_id)
        if forecast is None:
            lateness = self._lateness.of(worker)
            free = _free(worker)
            place = NearPlace(free, self._releases(worker, lateness), lateness)
            forecast = _Forecast(worker, place, free, worker.version)
            self._forecasts[worker.worker_id] = forecast
        elif forecast.version != worker.version:
            free = _free(worker)
            forecast.place.change_free(free - forecast.free)
            forecast.free = free
            forecast.version = worker.version
        return forecast.place

    def _releases(self, worker: WorkerView, lateness: float) -> list[Release]:
        return [
            self._observe(task, worker, lateness).release(self._now)
            for task in worker.tasks.values()
            if not task.spec.long_running and task.pace_percent
        ]

    def _observe(self, task: Task, worker: WorkerView, lateness: float) -> ObservedRun:
        demand = task.spec.demand
        if task.spec.fills:
            # Their processors do not count as occupied.
            demand = Resources(0, demand.memory_bytes, demand.accelerators)
        return ObservedRun(
            demand,
            self._lateness.planned(task, worker) * lateness,
            task.started_at,
            task.progress_percent,
            task.progressed_at,
            starts_at_zero(task),
        )


def near_workers(
    run: StepRun, rack: RackName, candidates: Iterable[WorkerView]
) -> list[WorkerView]:
    """Returns the workers of a rack, less those with the most tasks of the step."""
    return [
        worker
        for worker in candidates
        if worker.info.rack == rack and not limit_reached(worker, run)
    ]


def _free(worker: WorkerView) -> Resources:
    capacity, allocated = worker.info.capacity, worker.allocated
    return Resources(
        capacity.cpu_millicores - allocated.cpu_millicores,
        capacity.memory_bytes - allocated.memory_bytes,
        capacity.accelerators - allocated.accelerators,
    )
