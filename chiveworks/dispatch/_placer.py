"""Chooses the worker for a task."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Final

from chiveworks.base import Clock, WorkerId, ZoneName
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import StepRun, StepSpec, Task

#: What a claim of a filling task weighs against one that is reserved, when the
#: least loaded worker is sought. Filling tasks yield, so they weigh less.
FILL_WEIGHT: Final = 0.5
#: Penalty, in shares of a worker, for a rack other than that of the data.
REMOTE_PENALTY: Final = 2.0




class Placer:
    """Picks the eligible worker with the most room left for a task.

    Args:
        clock: Source of time.
        workers: Workers by id.
        evacuated: Zones in which nothing may start.
    """

    def __init__(
        self,
        clock: Clock,
        workers: dict[WorkerId, WorkerView],
        evacuated: Callable[[ZoneName], bool],
    ) -> None:
        self._clock = clock
        self._workers = workers
        self._evacuated = evacuated

    def candidates(self, run: StepRun, service: str) -> list[WorkerView]:
        """Returns the workers on which tasks of a step may start now."""
        now = self._clock.monotonic()
        spec = run.spec
        return [
            worker
            for worker in self._workers.values()
            if worker.info.service == service
            and self._accepts(worker, now)
            and (not spec.required_label or spec.required_label in worker.info.labels)
        ]

    def worker_of(self, task: Task) -> WorkerView | None:
        """Returns the worker that a task is claimed for."""
        return self._workers.get(task.worker) if task.worker else None

    def choose(self, task: Task, candidates: Iterable[WorkerView]) -> WorkerView | None:
        """Returns the best worker for a task, or None when it fits nowhere."""
        best, best_score = None, 0.0
        for worker in candidates:
            if not fits(worker, task.spec) or self._barred(worker, task):
                continue
            score = self._score(worker, task)
            if best is None or score > best_score:
                best, best_score = worker, score
        return best

    def _accepts(self, worker: WorkerView, now: timedelta) -> bool:
        return (
            worker.live
            and worker.listed
            and worker.lease.known
            and not worker.info.draining
            and worker.quarantined_until <= now
            and not self._evacuated(worker.info.zone)
        )

    def _barred(self, worker: WorkerView, task: Task) -> bool:
        spec = task.spec
        if task.ref in worker.tasks:
            return True
        limit = spec.worker_limit
        return limit > 0 and _same_step(worker, task) >= limit

    def _score(self, worker: WorkerView, task: Task) -> float:
        spec = task.spec
        capacity = worker.info.capacity.cpu_millicores or 1
        taken = worker.cpu_millicores + FILL_WEIGHT * worker.fill_millicores
        score = (capacity - taken - spec.demand.cpu_millicores) / capacity
        if spec.data_rack and spec.data_rack != worker.info.rack:
            score -= REMOTE_PENALTY
        if worker.worker_id in task.avoided:
            score -= 2 * REMOTE_PENALTY
        if spec.fills:
            score += worker.fill_pace_percent / 100
        return score


def fits(worker: WorkerView, spec: StepSpec) -> bool:
    """Tells whether a worker has room for a task of a step."""
    capacity, demand = worker.info.capacity, spec.demand
    if worker.memory_bytes + demand.memory_bytes > capacity.memory_bytes:
        return False
    if worker.accelerators + demand.accelerators > capacity.accelerators:
        return False
    if spec.fills:
        return True
    return worker.cpu_millicores + demand.cpu_millicores <= capacity.cpu_millicores


def _same_step(worker: WorkerView, task: Task) -> int:
    return sum(other.run_of is task.run_of for other in worker.tasks.values())
