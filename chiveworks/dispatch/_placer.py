"""Chooses the worker for a task."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from operator import itemgetter
from typing import Final

from chiveworks.base import Clock, WorkerId, ZoneName
from chiveworks.dispatch._interference_forecast import InterferenceForecast
from chiveworks.dispatch._interference_model import InterferenceModel
from chiveworks.dispatch._ranking import Ranking
from chiveworks.dispatch._room_checks import (
    fits,
    half_used,
    limit_reached,
    share_left,
)
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import StepRun, StepSpec, Task

#: Penalty, in shares of a worker, for a rack other than that of the data.
REMOTE_PENALTY: Final = 2.0
#: Penalty for a worker on which the task has failed before.
AVOIDED_PENALTY: Final = 4.0
#: Penalty for each part of the filling images that a worker no longer suits once
#: another image serves there.
MIXED_IMAGES_PENALTY: Final = 6.0
#: Preference for a worker on which the same image serves already.
SAME_IMAGE_BONUS: Final = 1.0
#: Penalty for each unit of headroom that a filling task takes from serving tasks.
TAKEN_PENALTY: Final = 0.5
#: Penalty for each unit of headroom lost beyond what is allowed.
LOSS_PENALTY: Final = 2.0
#: Excess from which a filling task rather waits for another worker.
EXCESS_LIMIT: Final = 0.1
#: Share of a worker's processors by which claims of filling tasks may exceed what
#: is left: tasks that are being started, restored or ended use none, and reports
#: show half of what is claimed in use.
OVERCOMMIT_SHARE: Final = 0.3
#: Longest wait of other tasks for the rack of their data: elsewhere they take
#: several times as long.
RACK_WAIT: Final = timedelta(seconds=1)
#: Longest wait for a worker without excess while under half of the processors are
#: claimed; below the 3 s for which a job may then have nothing running (the
#: platform's rule on lost jobs).
EXCESS_WAIT: Final = timedelta(milliseconds=2500)
#: Longest wait for room that is kept on a worker, until the tasks that leave it have
#: ended.
RESERVED_WAIT: Final = timedelta(milliseconds=1500)
#: Age up to which the list of workers that take tasks serves; one round of claims
#: asks for it once a step.
OPEN_WORKERS_MAX_AGE: Final = timedelta(milliseconds=5)


class Placer:
    """Picks the eligible worker with the most room left for a task.

    Args:
        clock: Source of time.
        workers: Workers by id.
        evacuated: Tells whether nothing may start in a zone.
        model: What is known of interference.
    """

    def __init__(
        self,
        clock: Clock,
        workers: dict[WorkerId, WorkerView],
        evacuated: Callable[[ZoneName], bool],
        model: InterferenceModel,
    ) -> None:
        self._clock = clock
        self._workers = workers
        self._evacuated = evacuated
        self._model = model
        self._open: list[WorkerView] = []
        self._open_listed_at = -2 * OPEN_WORKERS_MAX_AGE
        self._forecast = InterferenceForecast(model)

    def candidates(self, run: StepRun, service: str) -> list[WorkerView]:
        """Returns the workers on which tasks of a step may start now."""
        label = run.spec.required_label
        return [
            worker
            for worker in self.open_workers()
            if worker.info.service == service
            and (not label or label in worker.info.labels)
        ]

    def worker_of(self, task: Task) -> WorkerView | None:
        """Returns the worker that a task is claimed for."""
        return self._workers.get(task.worker) if task.worker else None

    def choose(self, task: Task, candidates: Sequence[WorkerView]) -> WorkerView | None:
        """Returns the best worker for a task, or None when it fits nowhere."""
        waited = self._clock.monotonic() - task.waiting_since
        if task.reserved is not None:
            reserved = self._take_reservation(task, candidates)
            if reserved is not None or waited < RESERVED_WAIT:
                return reserved
        rate = self._rating(task, candidates)
        rated = (
            (rating - AVOIDED_PENALTY * (worker.worker_id in task.avoided), worker)
            for worker in candidates
            if task.ref not in worker.tasks and (rating := rate(worker)) is not None
        )
        best = max(rated, key=itemgetter(0), default=None)
        return best[1] if best else None

    def rank(self, task: Task, candidates: Sequence[WorkerView]) -> Ranking:
        """Returns the workers for the tasks of a step that have waited like `task`."""
        return Ranking(candidates, self._rating(task, candidates))

    def open_workers(self) -> list[WorkerView]:
        """Returns the workers that take tasks now."""
        now = self._clock.monotonic()
        if now - self._open_listed_at > OPEN_WORKERS_MAX_AGE:
            self._open_listed_at = now
            self._open = [
                worker
                for worker in self._workers.values()
                if self._accepts(worker, now)
            ]
        return self._open

    def may_take(self, worker: WorkerView, task: Task) -> bool:
        """Tells whether a task may run on a worker, room aside."""
        label = task.spec.required_label
        holder = self._workers.get(task.worker or WorkerId(''))
        return (
            holder is not None
            and holder is not worker
            and holder.info.service == worker.info.service
            and (not label or label in worker.info.labels)
            and not self._is_excluded(worker, task)
        )

    def _take_reservation(
        self, task: Task, candidates: Sequence[WorkerView]
    ) -> WorkerView | None:
        """Returns the worker that keeps room for a task, once the room is free."""
        worker = self._workers.get(task.reserved or WorkerId(''))
        if worker is None or worker not in candidates:
            task.reserved = None
            return None
        worker.free_reservation(task)
        if fits(worker, task.spec) and not self._is_excluded(worker, task):
            task.reserved = None
            return worker
        worker.reserve(task)
        return None

    def has_better_worker(self, worker: WorkerView, task: Task) -> bool:
        """Tells whether another worker could run a filling task undisturbed."""
        return any(
            other is not worker
            and other.info.service == worker.info.service
            and fits(other, task.spec)
            and not self._is_excluded(other, task)
            and self._undisturbed(other, task.spec)
            for other in self.open_workers()
        )

    def _accepts(self, worker: WorkerView, now: timedelta) -> bool:
        return (
            worker.live
            and worker.listed
            and worker.lease.known
            and not worker.info.draining
            and worker.quarantined_until <= now
            and not self._evacuated(worker.info.zone)
        )

    def _rating(
        self, task: Task, candidates: Sequence[WorkerView]
    ) -> Callable[[WorkerView], float | None]:
        """Returns how a worker is rated for a task, or another one of its step."""
        run, spec = task.run_of, task.spec
        waited = self._clock.monotonic() - task.waiting_since
        if spec.fills:
            may_wait = waited < EXCESS_WAIT or half_used(candidates)
        else:
            may_wait = waited < RACK_WAIT

        def rate(worker: WorkerView) -> float | None:
            if not fits(worker, spec) or limit_reached(worker, run):
                return None
            if spec.fills:
                return self._rate_filling(worker, spec, may_wait=may_wait)
            remote = bool(spec.data_rack) and spec.data_rack != worker.info.rack
            if may_wait and remote:
                return None
            return self._rate_reserving(worker, spec) - REMOTE_PENALTY * remote

        return rate

    def _rate_filling(
        self, worker: WorkerView, spec: StepSpec, *, may_wait: bool
    ) -> float | None:
        room_left = share_left(worker, spec)
        excess, taken = self._forecast.effect(worker, spec)
        if may_wait and (room_left < -OVERCOMMIT_SHARE or excess > EXCESS_LIMIT):
            return None
        remote = bool(spec.data_rack) and spec.data_rack != worker.info.rack
        penalty = LOSS_PENALTY * excess + TAKEN_PENALTY * taken
        return room_left - penalty - REMOTE_PENALTY * remote

    def _rate_reserving(self, worker: WorkerView, spec: StepSpec) -> float:
        room_left = share_left(worker, spec)
        if spec.serves:
            return self._serving_score(worker, spec, room_left)
        return room_left

    def _is_excluded(self, worker: WorkerView, task: Task) -> bool:
        return task.ref in worker.tasks or limit_reached(worker, task.run_of)

    def _serving_score(
        self, worker: WorkerView, spec: StepSpec, room_left: float
    ) -> float:
        """Returns how well a worker suits a serving task, by images and best fit."""
        present = worker.allocated.serving_images
        if spec.image in present:
            return SAME_IMAGE_BONUS - room_left
        if not present:
            return -room_left
        now = self._model.compatible_share(present)
        then = self._model.compatible_share((*present, spec.image))
        return -MIXED_IMAGES_PENALTY * (now - then) - room_left

    def _undisturbed(self, worker: WorkerView, spec: StepSpec) -> bool:
        """Whether a filling task gets the processors it asks for and harms nobody."""
        if share_left(worker, spec) < -OVERCOMMIT_SHARE:
            return False
        return self._forecast.effect(worker, spec)[0] <= EXCESS_LIMIT
