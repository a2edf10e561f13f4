"""Checks whether workers have capacity for further tasks."""

from collections.abc import Sequence
from typing import Final

from chiveworks.base import Resources
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import StepRun, StepSpec

#: Average share of their claimed processor time that serving tasks use.
SERVING_USE: Final = 0.5
#: Share of a worker's memory that filling tasks leave free.
MEMORY_KEPT: Final = 0.12
#: Default of `without` in `fits`.
NO_RESOURCES: Final = Resources()


def share_left(worker: WorkerView, spec: StepSpec) -> float:
    """Returns the share of a worker's processors left after a start; may be negative.

    Filling tasks can use the processor time that serving tasks claim but do not use.
    """
    capacity = worker.info.capacity.cpu_millicores or 1
    used: float = worker.allocated.cpu_millicores
    if spec.fills:
        used -= (1 - SERVING_USE) * worker.allocated.serving_millicores
        used += worker.allocated.filling_millicores
    return (capacity - used - spec.demand.cpu_millicores) / capacity


def fits(worker: WorkerView, spec: StepSpec, without: Resources = NO_RESOURCES) -> bool:
    """Tells whether a worker has enough free resources for a task of a step.

    The processor demand of filling tasks is not checked; see `share_left`.

    Args:
        worker: The worker.
        spec: Step of the task.
        without: Claims on the worker that will have been freed by then.
    """
    capacity, demand = worker.info.capacity, spec.demand
    if without is not NO_RESOURCES:
        demand -= without
    if worker.allocated.memory_bytes + demand.memory_bytes > capacity.memory_bytes:
        return False
    if worker.allocated.accelerators + demand.accelerators > capacity.accelerators:
        return False
    if spec.fills:
        # Keeps memory free for arriving tasks that must not wait.
        kept = int(MEMORY_KEPT * capacity.memory_bytes)
        used = worker.allocated.memory_bytes + demand.memory_bytes
        return used + kept <= capacity.memory_bytes
    return (
        worker.allocated.cpu_millicores + demand.cpu_millicores
        <= capacity.cpu_millicores
    )


def limit_reached(worker: WorkerView, run: StepRun) -> bool:
    """Tells whether a worker has reached the limit of tasks per worker of a step."""
    limit = run.spec.worker_limit
    if not limit:
        return False
    return sum(other.step_run is run for other in worker.tasks.values()) >= limit


def half_used(workers: Sequence[WorkerView]) -> bool:
    """Tells whether non-filling tasks claim at least half of the processors."""
    capacity = sum(worker.info.capacity.cpu_millicores for worker in workers)
    return 2 * sum(worker.allocated.cpu_millicores for worker in workers) >= capacity
