"""Chooses the worker for a task."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from operator import itemgetter
from typing import Final

from chiveworks.base import Clock, WorkerId, ZoneName
from chiveworks.dispatch._interference_forecast import InterferenceForecast
from chiveworks.dispatch._interference_model import InterferenceModel
from chiveworks.dispatch._probation import Probation
from chiveworks.dispatch._ranking import Ranking
from chiveworks.dispatch._rating_weights import (
    AVOIDED_PENALTY,
    EXCESS_LIMIT,
    LOSS_PENALTY,
    MIXED_IMAGES_PENALTY,
    OVERCOMMIT_SHARE,
    REMOTE_PENALTY,
    SAME_IMAGE_BONUS,
    TAKEN_PENALTY,
)
from chiveworks.dispatch._room_checks import (
    fits,
    half_used,
    limit_reached,
    share_left,
)
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import StepRun, StepSpec, Task

#: Maximum time for which a filling task waits for a worker below `EXCESS_LIMIT`
#: while non-filling tasks claim less than half of the processors. At such a low load,
#: the platform's rule on lost jobs allows a job to have no running task for 3 s at
#: most.
EXCESS_WAIT: Final = timedelta(milliseconds=2500)
#: Maximum time for which a moved task waits for its target only. The tasks that move away
#: from there must end first.
RESERVED_WAIT: Final = timedelta(milliseconds=1500)
#: Maximum age of the cached list of workers that accept tasks. An assignment round
#: uses the list once per step. Claims are checked again by the workers.
AVAILABLE_MAX_AGE: Final = timedelta(milliseconds=20)


def _permit_all(_task: Task) -> bool:
    return True


class Placer:
    """Scores the eligible workers for a task and picks the best one.

    Args:
        clock: Source of time.
        workers: Workers by id.
        evacuated: Tells whether a zone is evacuated, so that nothing may start there.
        model: Interference model.
        permits: Tells whether the limit of a task's account permits it to run.

    Attributes:
        probation: Workers on which suspects have just been started.
    """

    def __init__(
        self,
        clock: Clock,
        workers: dict[WorkerId, WorkerView],
        evacuated: Callable[[ZoneName], bool],
        model: InterferenceModel,
        permits: Callable[[Task], bool] = _permit_all,
    ) -> None:
        self.permits = permits
        self._clock = clock
        self._workers = workers
        self._evacuated = evacuated
        self._model = model
        self._available: list[WorkerView] = []
        self._available_updated_at = -2 * AVAILABLE_MAX_AGE
        # Kept as long as the list of workers; the model changes with each report.
        self._compatible_shares: dict[frozenset[str], float] = {}
        self._forecast = InterferenceForecast(model)
        self.probation = Probation(clock)

    def candidates(self, run: StepRun, service: str) -> list[WorkerView]:
        """Returns the workers on which tasks of a step may start now.

        Free capacity is not checked.
        """
        label = run.spec.required_label
        return [
            worker
            for worker in self.available_workers()
            if worker.info.service == service
            and (not label or label in worker.info.labels)
        ]

    def worker_of(self, task: Task) -> WorkerView | None:
        """Returns the worker that a task is claimed for."""
        return self._workers.get(task.worker) if task.worker else None

    def choose(self, task: Task, candidates: Sequence[WorkerView]) -> WorkerView | None:
        """Returns the best worker for a task, or None if no worker is suitable."""
        if task.reserved_worker is not None:
            waits = waits_for_target(task, self._clock.monotonic())
            reserved_worker = self._take_reservation(task, candidates)
            if reserved_worker is not None or waits:
                return reserved_worker
        rate = self._rating(task, candidates)
        if task.crashes:
            fitting = (
                worker
                for worker in candidates
                if task.ref not in worker.tasks and rate(worker) is not None
            )
            return self.probation.choose(task, fitting)
        rated = (
            (
                rating - AVOIDED_PENALTY * (worker.worker_id in task.avoided_workers),
                worker,
            )
            for worker in candidates
            if task.ref not in worker.tasks and (rating := rate(worker)) is not None
        )
        best = max(rated, key=itemgetter(0), default=None)
        return best[1] if best else None

    def searches_all(self, task: Task) -> bool:
        """Tells whether a task is tried on all workers.

        A suspect is not, nor a moved task that waits for its target.
        """
        if task.crashes:
            return False
        return not waits_for_target(task, self._clock.monotonic())

    def reservation_ready(self, task: Task) -> bool:
        """Tells whether a task has a reservation that can be used or must end."""
        if task.reserved_worker is None:
            return False
        worker = self._workers.get(task.reserved_worker)
        if worker is None or not self._accepts(worker, self._clock.monotonic()):
            return True
        return fits(worker, task.spec, without=task.spec.demand)

    def may_wait(self, task: Task) -> bool:
        """Tells whether a filling task may wait for a worker that suits it better.

        `NearWaits` decides about waits for the rack of the data or of the group.
        """
        waited = self._clock.monotonic() - task.waiting_since
        return task.spec.fills and waited < EXCESS_WAIT

    def rank(self, task: Task, candidates: Sequence[WorkerView]) -> Ranking:
        """Ranks the workers for `task` and the other waiting tasks of its step."""
        return Ranking(candidates, self._rating(task, candidates))

    def available_workers(self) -> list[WorkerView]:
        """Returns the workers that currently accept tasks."""
        now = self._clock.monotonic()
        if now - self._available_updated_at > AVAILABLE_MAX_AGE:
            self._available_updated_at = now
            self._compatible_shares.clear()
            self._available = [
                worker
                for worker in self._workers.values()
                if self._accepts(worker, now)
            ]
        return self._available

    def load_of(self, service: str) -> tuple[int, int]:
        """Returns the processors of a service and those that are claimed there.

        Both are in millicores and for the workers that respond; filling tasks count.
        """
        capacity = 0
        claimed = 0
        for worker in self._workers.values():
            if worker.live and worker.info.service == service:
                allocated = worker.allocated
                capacity += worker.info.capacity.cpu_millicores
                claimed += allocated.cpu_millicores + allocated.filling_millicores
        return capacity, claimed

    def may_take(self, worker: WorkerView, task: Task) -> bool:
        """Tells whether a running task may move to a worker; ignores capacity."""
        label = task.spec.required_label
        source = self._workers.get(task.worker or WorkerId(''))
        return (
            source is not None
            and source is not worker
            and source.info.service == worker.info.service
            and (not label or label in worker.info.labels)
            and not self._is_excluded(worker, task)
            and self.permits(task)
        )

    def _take_reservation(
        self, task: Task, candidates: Sequence[WorkerView]
    ) -> WorkerView | None:
        """Returns the worker with a reservation for a task once the task fits there.

        The reservation is dropped if the worker is no longer a candidate.
        """
        worker = self._workers.get(task.reserved_worker or WorkerId(''))
        now = self._clock.monotonic()
        if worker is None or not self._accepts(worker, now):
            self.free_reservation(task)
            return None
        if worker not in candidates:
            # Another rack of a tightly coupled step is being tried.
            return None
        worker.free_reservation(task)
        if fits(worker, task.spec) and not self._is_excluded(worker, task):
            task.reserved_worker = None
            return worker
        worker.reserve(task)
        return None

    def free_reservation(self, task: Task) -> None:
        """Frees the resources that are reserved for a task, if any."""
        worker = self._workers.get(task.reserved_worker or WorkerId(''))
        if worker is not None:
            worker.free_reservation(task)
        task.reserved_worker = None

    def has_better_worker(self, worker: WorkerView, task: Task) -> bool:
        """Tells whether a filling task could run elsewhere without interference."""
        return self.permits(task) and any(
            other is not worker
            and other.info.service == worker.info.service
            and fits(other, task.spec)
            and not self._is_excluded(other, task)
            and self._undisturbed(other, task.spec)
            for other in self.available_workers()
        )

    def _accepts(self, worker: WorkerView, now: timedelta) -> bool:
        return (
            worker.live
            and worker.listed
            # Another incarnation may have been of another kind.
            and worker.entry_current
            and worker.lease.extendable
            and not worker.info.draining
            and worker.quarantined_until <= now
            and not self._evacuated(worker.info.zone)
        )

    def _rating(
        self, task: Task, candidates: Sequence[WorkerView]
    ) -> Callable[[WorkerView], float | None]:
        """Returns a function that rates workers for the tasks of a step.

        The rating is None for a worker that is not suitable, or not yet.
        """
        run, spec = task.step_run, task.spec
        may_wait = self.may_wait(task) or (spec.fills and half_used(candidates))

        def rate(worker: WorkerView) -> float | None:
            if not fits(worker, spec) or limit_reached(worker, run):
                return None
            if self.probation.covers(worker, run):
                return None
            if spec.fills:
                return self._rate_filling(worker, spec, may_wait=may_wait)
            remote = bool(spec.data_rack) and spec.data_rack != worker.info.rack
            return self._rate_non_filling(worker, spec) - REMOTE_PENALTY * remote

        return rate

    def _rate_filling(
        self, worker: WorkerView, spec: StepSpec, *, may_wait: bool
    ) -> float | None:
        free_share = share_left(worker, spec)
        excess, taken = self._forecast.effect(worker, spec)
        if may_wait and (free_share < -OVERCOMMIT_SHARE or excess > EXCESS_LIMIT):
            return None
        remote = bool(spec.data_rack) and spec.data_rack != worker.info.rack
        penalty = LOSS_PENALTY * excess + TAKEN_PENALTY * taken
        return free_share - penalty - REMOTE_PENALTY * remote

    def _rate_non_filling(self, worker: WorkerView, spec: StepSpec) -> float:
        free_share = share_left(worker, spec)
        if spec.serves:
            return self._rate_serving(worker, spec, free_share)
        return free_share

    def _is_excluded(self, worker: WorkerView, task: Task) -> bool:
        return (
            task.ref in worker.tasks
            or limit_reached(worker, task.step_run)
            or self.probation.covers(worker, task.step_run)
            or (task.crashes > 0 and not self.probation.takes(worker, task))
        )

    def _rate_serving(
        self, worker: WorkerView, spec: StepSpec, free_share: float
    ) -> float:
        """Rates a worker for a serving task.

        Prefers workers that serve the same image, then workers that stay compatible
        with many filling images, then those with little capacity left (best fit).
        """
        present = worker.allocated.serving_images
        if spec.image in present:
            return SAME_IMAGE_BONUS - free_share
        if not present:
            return -free_share
        before = self._compatible_share(frozenset(present))
        after = self._compatible_share(frozenset((*present, spec.image)))
        return -MIXED_IMAGES_PENALTY * (before - after) - free_share

    def _compatible_share(self, serving: frozenset[str]) -> float:
        """Returns the share of filling images that do not disturb any of the images."""
        share = self._compatible_shares.get(serving)
        if share is None:
            share = self._model.compatible_share(serving)
            self._compatible_shares[serving] = share
        return share

    def _undisturbed(self, worker: WorkerView, spec: StepSpec) -> bool:
        """Whether a filling task gets its processor time without disturbing others."""
        if share_left(worker, spec) < -OVERCOMMIT_SHARE:
            return False
        return self._forecast.effect(worker, spec)[0] <= EXCESS_LIMIT


def waits_for_target(task: Task, now: timedelta) -> bool:
    """Tells whether a moved task may start on the target of its move only."""
    return (
        task.reserved_worker is not None
        and task.reserved_at <= task.waiting_since
        and now - task.waiting_since < RESERVED_WAIT
    )
