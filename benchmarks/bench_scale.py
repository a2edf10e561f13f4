"""Decision time and memory against workers, running tasks, teams and queue length.

Each sweep varies one size and fits a power law; a slope of 0 stands for a cost
that does not grow, 1 for one proportional to the size.
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
WORKERS = (100, 300, 1000, 3000, 13000)
TASKS = (1000, 6400, 27000, 90000)
TEAMS = (1, 9, 54, 180, 540)
QUEUED = (1000, 6400, 27000, 90000, 273000)
#: Tasks for each worker at the design size, 273,000 on 13,000.
_TASKS_PER_WORKER = 21
#: Tasks that do not fit any more are left out.
_TASKS_WHEN_FULL = 26
_DECISIONS = 1500
_REPEATS = 3
_Subject = TypeVar('_Subject')


@dataclass(frozen=True)
class Point:
    """Cost at one size."""

    size: int
    operation_us: float
    memory_bytes: int


class Fleet:
    """Workers filled with tasks of random kinds and sizes."""

    def __init__(self, workers: int, tasks: int) -> None:
        self.rng = np.random.default_rng(workers * 31 + tasks)
        self.index = CandidateIndex(self.rng)
        for number in range(workers):
            # 29,000 accelerators on 13,000 workers: about 9 on every fourth.
            capacity = Resources(16000, 60 * GIB, 9 if number % 4 == 0 else 0)
            worker_id = WorkerId(f'worker-{number}')
            rack = RackName(f'rack-{number // 8}')
            self.index.put(Candidate(worker_id, rack, capacity, capacity))
        self.placed: list[tuple[WorkerId, Demand]] = []
        for number in range(tasks):
            demand = self.demand(number)
            candidates = self.index.sample(demand)
            # The emptiest of the sample, so that every sweep fills evenly.
            free = [item.free.cpu_millicores for item in candidates]
            if not candidates:
                continue
            chosen = candidates[int(np.argmax(free))].worker_id
            self.index.claim(chosen, demand)
            self.placed.append((chosen, demand))

    def demand(self, number: int) -> Demand:
        """Returns a task of a random kind."""
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


def trained_estimator() -> SlowdownEstimator:
    """Returns an estimator that knows all kinds."""
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


def decide(fleet: Fleet, policy: InterferenceAware | FirstFit) -> Callable[[], int]:
    """Returns a run of decisions: one task ends, another is placed."""
    uses_index = isinstance(policy, InterferenceAware)

    def run() -> int:
        count = min(_DECISIONS if uses_index else 100, len(fleet.placed))
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


def cycle_queue(queue: TaskQueue) -> Callable[[], int]:
    """Returns a run of pops, each followed by the end of the task and a new push."""

    def run() -> int:
        popped = 0
        while popped < _DECISIONS:
            demand = queue.pop()
            if demand is None:
                break
            queue.release_quota(demand)
            queue.push(demand)
            popped += 1
        return max(popped, 1)

    return run


def queue_of(length: int, teams: int) -> TaskQueue:
    """Returns a queue with `length` tasks of `teams` teams."""
    rng = np.random.default_rng(length + teams)
    quotas = {TenantName(f'team-{number}'): 10**6 for number in range(teams)}
    queue = TaskQueue(DeadlineFair(), quotas)
    for number in range(length):
        arrival = timedelta(seconds=float(rng.uniform(0, 3600)))
        demand = Demand(
            TaskId(f'task-{number}'),
            KINDS[number % len(KINDS)],
            TenantName(f'team-{number % teams}'),
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
    run_of: Callable[[_Subject], Callable[[], int]],
) -> Point:
    """Measures memory while building, then the best of some runs without tracing."""
    gc.collect()
    tracemalloc.start()
    subject = build()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    run = run_of(subject)
    best = float('inf')
    for _ in range(_REPEATS):
        started = time.perf_counter()
        count = run()
        best = min(best, (time.perf_counter() - started) / count)
    return Point(size, best * 1e6, memory_bytes)


def slope(points: Sequence[Point], cost: str) -> float:
    """Returns the exponent of a power law fitted to a cost."""
    sizes = np.log([point.size for point in points])
    costs = np.log([max(getattr(point, cost), 1e-9) for point in points])
    return float(np.polyfit(sizes, costs, 1)[0])


def plot(name: str, points: Sequence[Point], target: Path) -> None:
    """Draws time and memory on logarithmic axes."""
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


def sweeps() -> dict[str, list[Point]]:
    """Runs all sweeps."""
    policy = InterferenceAware(trained_estimator())
    by_workers = [
        measure(
            size,
            lambda: Fleet(size, size * _TASKS_PER_WORKER),
            lambda fleet: decide(fleet, policy),
        )
        for size in WORKERS
    ]
    # 13,000 workers with 21 tasks each are the last point of both sweeps.
    full = replace(by_workers[-1], size=WORKERS[-1] * _TASKS_PER_WORKER)
    return {
        'workers': by_workers,
        'workers_nearly_full': [
            measure(
                size,
                lambda: Fleet(size, size * _TASKS_WHEN_FULL),
                lambda fleet: decide(fleet, policy),
            )
            for size in WORKERS[:4]
        ],
        'workers_first_fit': [
            measure(
                size,
                lambda: Fleet(size, size * _TASKS_PER_WORKER),
                lambda fleet: decide(fleet, FirstFit()),
            )
            for size in WORKERS[:4]
        ],
        'running_tasks': [
            measure(
                size,
                lambda: Fleet(WORKERS[-1], size),
                lambda fleet: decide(fleet, policy),
            )
            for size in TASKS
        ]
        + [full],
        'teams': [
            measure(size, lambda: queue_of(27000, size), cycle_queue) for size in TEAMS
        ],
        'queue_length': [
            measure(size, lambda: queue_of(size, 540), cycle_queue) for size in QUEUED
        ],
    }


def main() -> None:
    RESULTS.mkdir(exist_ok=True)
    shard = measure(
        300,
        lambda: Fleet(300, 6400),
        lambda fleet: decide(fleet, InterferenceAware(trained_estimator())),
    )
    print(f'300 workers, 6,400 tasks: {1e6 / shard.operation_us:.0f} decisions/s')
    report: dict[str, object] = {'shard_decisions_per_s': 1e6 / shard.operation_us}
    for name, points in sweeps().items():
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
