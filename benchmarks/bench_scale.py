"""Decision time and memory by number of workers, tasks, tenants and queued tasks.

Each sweep varies one size and fits a power law to the costs. A slope of 0 means that
the cost does not depend on the size, 1 that it is proportional to the size.
Run: python -m benchmarks.bench_scale
"""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, replace
from datetime import timedelta
from pathlib import Path
from typing import TypeVar

import numpy as np
from matplotlib.figure import Figure

from chiveworks.base import (
    ManualClock,
    RackName,
    Resources,
    ServiceClass,
    TaskId,
    TenantName,
    WorkerId,
)
from chiveworks.placement import (
    Candidate,
    CandidateIndex,
    DeadlineFair,
    Demand,
    FirstFit,
    InterferenceAware,
    SlowdownEstimator,
    SlowdownSample,
    TaskQueue,
)

RESULTS = Path(__file__).parent / 'results'
GIB = 2**30
KINDS = tuple(f'kind-{number}' for number in range(12))
_SERVICE_KINDS = 3
WORKER_COUNTS = (100, 300, 1000, 3000, 13000)
TASK_COUNTS = (1000, 6400, 27000, 90000)
TENANT_COUNTS = (1, 9, 54, 180, 540)
QUEUE_LENGTHS = (1000, 6400, 27000, 90000, 273000)
#: Tasks per worker at the design size of 273,000 tasks on 13,000 workers.
_TASKS_PER_WORKER = 21
#: Tasks per worker on a nearly full fleet; those that do not fit are left out.
_TASKS_WHEN_FULL = 26
_DECISIONS_PER_RUN = 1500
_REPEATS = 3
_Subject = TypeVar('_Subject')


@dataclass(frozen=True)
class Point:
    """Cost of one operation and memory use at one size."""

    size: int
    operation_us: float
    memory_bytes: int


class Fleet:
    """Candidate index of workers that run tasks of random kinds and sizes."""

    def __init__(self, workers: int, tasks: int) -> None:
        self.rng = np.random.default_rng(workers * 31 + tasks)
        self.index = CandidateIndex(self.rng)
        for number in range(workers):
            # The design size has 29,000 accelerators on 13,000 workers, which is
            # about 9 on every fourth worker.
            capacity = Resources(16000, 60 * GIB, 9 if number % 4 == 0 else 0)
            worker_id = WorkerId(f'worker-{number}')
            rack = RackName(f'rack-{number // 8}')
            self.index.put(Candidate(worker_id, rack, capacity, capacity))
        self.placed: list[tuple[WorkerId, Demand]] = []
        for number in range(tasks):
            demand = self.demand(number)
            candidates = self.index.sample(demand)
            # Takes the candidate with the most free CPU, so that workers fill evenly.
            free = [item.free.cpu_millicores for item in candidates]
            if not candidates:
                continue
            chosen = candidates[int(np.argmax(free))].worker_id
            self.index.claim(chosen, demand)
            self.placed.append((chosen, demand))

    def demand(self, number: int) -> Demand:
        """Returns the demand of a task of random kind and size."""
        kind = int(self.rng.integers(len(KINDS)))
        is_service = kind < _SERVICE_KINDS
        needs_accelerator = int(self.rng.random() < 0.05)
        return Demand(
            TaskId(f'task-{number}'),
            KINDS[kind],
            TenantName(f'team-{number % 540}'),
            Resources(
                int(self.rng.integers(300, 1000)),
                int(self.rng.integers(1, 4)) * GIB // 2,
                needs_accelerator,
            ),
            timedelta(seconds=number / 1000),
            ServiceClass.LATENCY_CRITICAL if is_service else ServiceClass.BATCH,
        )


def create_estimator() -> SlowdownEstimator:
    """Returns an estimator that is fitted to samples of all kinds."""
    rng = np.random.default_rng(7)
    estimator = SlowdownEstimator(ManualClock())
    return estimator.partial_fit(
        SlowdownSample(
            KINDS[int(rng.integers(len(KINDS)))],
            {kind: int(rng.integers(3)) for kind in KINDS},
            float(rng.random()),
            float(rng.uniform(1, 2)),
            timedelta(0),
        )
        for _ in range(1000)
    )


def create_decision_run(
    fleet: Fleet, policy: InterferenceAware | FirstFit
) -> Callable[[], int]:
    """Returns a function that replaces tasks and returns the number of decisions.

    For each decision, a running task ends and is placed again.
    """
    uses_index = isinstance(policy, InterferenceAware)

    def run() -> int:
        count = min(_DECISIONS_PER_RUN if uses_index else 100, len(fleet.placed))
        order = fleet.rng.permutation(len(fleet.placed))[:count].tolist()
        for position in order:
            worker_id, demand = fleet.placed[position]
            fleet.index.release(worker_id, demand)
            candidates = fleet.index.sample(demand) if uses_index else fleet.index
            chosen = policy.choose(demand, candidates) or worker_id
            fleet.index.claim(chosen, demand)
            fleet.placed[position] = (chosen, demand)
        return count

    return run


def create_queue_run(queue: TaskQueue) -> Callable[[], int]:
    """Returns a function that takes tasks from the queue and returns their number.

    Each task ends at once and is queued again.
    """

    def run() -> int:
        popped = 0
        while popped < _DECISIONS_PER_RUN:
            demand = queue.pop()
            if demand is None:
                break
            queue.release_quota(demand)
            queue.push(demand)
            popped += 1
        return max(popped, 1)

    return run


def create_queue(length: int, tenants: int) -> TaskQueue:
    """Returns a queue with `length` tasks of `tenants` tenants."""
    rng = np.random.default_rng(length + tenants)
    quotas = {TenantName(f'team-{number}'): 10**6 for number in range(tenants)}
    queue = TaskQueue(DeadlineFair(), quotas)
    for number in range(length):
        arrival = timedelta(seconds=float(rng.uniform(0, 3600)))
        demand = Demand(
            TaskId(f'task-{number}'),
            KINDS[number % len(KINDS)],
            TenantName(f'team-{number % tenants}'),
            Resources(int(rng.integers(300, 1000)), GIB),
            arrival,
            urgent=bool(rng.random() < 0.05),
            deadline=arrival + timedelta(seconds=float(rng.uniform(60, 3600))),
        )
        queue.push(demand)
    return queue


def measure(
    size: int,
    build: Callable[[], _Subject],
    create_run: Callable[[_Subject], Callable[[], int]],
) -> Point:
    """Measures the memory of a subject and the best time of several runs on it.

    Memory is traced while the subject is built, but not during the runs.
    """
    gc.collect()
    tracemalloc.start()
    subject = build()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    run = create_run(subject)
    best = float('inf')
    for _ in range(_REPEATS):
        started = time.perf_counter()
        count = run()
        best = min(best, (time.perf_counter() - started) / count)
    return Point(size, best * 1e6, memory_bytes)


def slope(points: Sequence[Point], cost: str) -> float:
    """Returns the exponent of a power law fitted to the costs."""
    sizes = np.log([point.size for point in points])
    costs = np.log([max(getattr(point, cost), 1e-9) for point in points])
    return float(np.polyfit(sizes, costs, 1)[0])


def plot(name: str, points: Sequence[Point], target: Path) -> None:
    """Plots time and memory against size on logarithmic axes."""
    figure = Figure(figsize=(9, 3.5))
    axes = figure.subplots(1, 2)
    sizes = [point.size for point in points]
    for axis, cost in zip(axes, ('operation_us', 'memory_bytes'), strict=True):
        axis.loglog(sizes, [getattr(point, cost) for point in points], marker='o')
        axis.set_xlabel(name)
        axis.set_ylabel(cost)
        axis.set_title(f'slope {slope(points, cost):.2f}')
        axis.grid(visible=True, which='both', alpha=0.3)
    figure.tight_layout()
    figure.savefig(target)


def run_sweeps() -> dict[str, list[Point]]:
    """Runs all sweeps."""
    policy = InterferenceAware(create_estimator())
    by_workers = [
        measure(
            size,
            lambda: Fleet(size, size * _TASKS_PER_WORKER),
            lambda fleet: create_decision_run(fleet, policy),
        )
        for size in WORKER_COUNTS
    ]
    # The design size, 13,000 workers with 21 tasks each, ends both sweeps.
    design_point = replace(by_workers[-1], size=WORKER_COUNTS[-1] * _TASKS_PER_WORKER)
    return {
        'workers': by_workers,
        'workers_nearly_full': [
            measure(
                size,
                lambda: Fleet(size, size * _TASKS_WHEN_FULL),
                lambda fleet: create_decision_run(fleet, policy),
            )
            for size in WORKER_COUNTS[:4]
        ],
        'workers_first_fit': [
            measure(
                size,
                lambda: Fleet(size, size * _TASKS_PER_WORKER),
                lambda fleet: create_decision_run(fleet, FirstFit()),
            )
            for size in WORKER_COUNTS[:4]
        ],
        'running_tasks': [
            measure(
                size,
                lambda: Fleet(WORKER_COUNTS[-1], size),
                lambda fleet: create_decision_run(fleet, policy),
            )
            for size in TASK_COUNTS
        ]
        + [design_point],
        'teams': [
            measure(size, lambda: create_queue(27000, size), create_queue_run)
            for size in TENANT_COUNTS
        ],
        'queue_length': [
            measure(size, lambda: create_queue(size, 540), create_queue_run)
            for size in QUEUE_LENGTHS
        ],
    }


def main() -> None:
    RESULTS.mkdir(exist_ok=True)
    shard = measure(
        300,
        lambda: Fleet(300, 6400),
        lambda fleet: create_decision_run(fleet, InterferenceAware(create_estimator())),
    )
    print(f'300 workers, 6,400 tasks: {1e6 / shard.operation_us:.0f} decisions/s')
    report: dict[str, object] = {'shard_decisions_per_s': 1e6 / shard.operation_us}
    for name, points in run_sweeps().items():
        slopes = {
            cost: slope(points, cost) for cost in ('operation_us', 'memory_bytes')
        }
        report[name] = {'points': list(map(asdict, points)), 'slopes': slopes}
        plot(name, points, RESULTS / f'scale_{name}.png')
        print(f'{name}: slopes ' + ', '.join(f'{k} {v:.2f}' for k, v in slopes.items()))
        for point in points:
            print(
                f'  {point.size:>7} {point.operation_us:>9.1f} us'
                f' {point.memory_bytes / 1e6:>8.1f} MB'
            )
    (RESULTS / 'scale.json').write_text(json.dumps(report, indent=1))


if __name__ == '__main__':
    main()
