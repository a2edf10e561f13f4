"""Alternatives for how long tasks wait for a worker near their data, on replayed loads.

Each worker runs one task at a time. Tasks whose data is on a rack arrive there, in some
loads beside tasks that may run anywhere. A remote run takes 1.5 times as long. Prints a
table of means over the seeds and, if a path is given as the argument, writes the rows to
it as JSON.
"""

import json
import pathlib
import random
import sys
from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import Resources
from chiveworks.locality import (
    LatenessMeter,
    NearPlace,
    NearRequest,
    NearSlots,
    NearWait,
    ObservedRun,
)

FACTOR = 1.5
ONE = Resources(1)
SEEDS = range(10)
STEP_S = 0.02
#: Interval of the progress reports of a worker.
REPORT_S = 1.0
NO_DEADLINE = timedelta(days=1)
#: Time over which the policies look back at the tasks that arrived for the rack.
DEMAND_S = 10
POLICIES = (
    *('none', 'constant', 'job', 'completion', 'no margin', 'full margin'),
    *('half gain', 'value', 'value, load'),
)


@dataclass
class Load:
    """A load to replay.

    Attributes:
        near, far: Number of workers in the rack and elsewhere.
        lengths: Shortest and longest declared duration of a task.
        near_left: Shortest and longest declared time that the first runs of the near
            workers have left; None if they never end.
        tasks: Number of tasks with data on the rack.
        every: Interval between their arrivals.
        others: Number of tasks that may run anywhere, which arrive at the beginning.
        slow: Factor on the durations of runs on the near workers.
        errors: Lowest and highest factor on declared durations.
    """

    near: int = 4
    far: int = 40
    lengths: tuple[float, float] = (0.6, 3)
    near_left: tuple[float, float] | None = (0, 3)
    tasks: int = 40
    every: float = 0.5
    others: int = 0
    slow: float = 1
    errors: tuple[float, float] = (1, 1)


LOADS = {
    'near busy for long': Load(near_left=(4, 8), tasks=4, every=0),
    'near free soon': Load(near_left=(0.1, 0.4), tasks=4, every=0),
    'near never free': Load(near_left=None),
    'burst on a hot rack': Load(tasks=60, every=0, far=80),
    'rack in use': Load(tasks=60, every=0.8),
    'rack in use, spread': Load(tasks=60, every=0.8, errors=(0.5, 2)),
    'hot rack, steady': Load(tasks=100, every=0.25),
    'hot rack, full load': Load(tasks=60, every=0.25, far=10, others=100),
    'near worker slow': Load(slow=2),
    'durations halved': Load(errors=(0.5, 0.5)),
    'durations doubled': Load(errors=(2, 2)),
    'durations spread': Load(errors=(0.5, 2)),
}


@dataclass
class Task:
    arrives: float
    length: float
    actual: float
    rack_bound: bool
    declined_at: float | None = None
    ended: float = 0
    remote: bool = False


@dataclass
class Worker:
    near: bool
    speed: float
    lateness: LatenessMeter
    name: str
    task: Task | None = None
    started: float = 0
    planned: float = 0
    ends: float = 0

    def start(self, task: Task, now: float) -> None:
        task.remote = task.rack_bound and not self.near
        factor = FACTOR if task.remote else 1
        self.task, self.started = task, now
        self.planned = task.length * factor
        self.ends = now + task.actual * factor * self.speed

    def place(self, now: float) -> NearPlace:
        lateness = self.lateness.of(self.name)
        if self.task is None:
            return NearPlace(ONE, (), lateness)
        if self.ends == float('inf'):
            return NearPlace(Resources(), (), lateness)
        reported = self.started + (now - self.started) // REPORT_S * REPORT_S
        percent = int(100 * (reported - self.started) / (self.ends - self.started))
        run = ObservedRun(
            ONE,
            _time(self.planned * lateness),
            _time(self.started),
            percent,
            _time(reported),
        )
        return NearPlace(Resources(), [run.release(_time(now))], lateness)


def main() -> None:
    """Replays each load under each policy."""
    print(f'{"load":20} {"policy":12} near tasks s  worst s  remote %  others s')
    rows = []
    for name, load in LOADS.items():
        for policy in POLICIES:
            row = {'load': name, 'policy': policy, **_measure(load, policy)}
            rows.append(row)
            print(
                f'{name:20} {policy:12} {row["mean_s"]:12.2f} {row["worst_s"]:8.2f} '
                f'{row["remote_percent"]:9.0f} {row["others_s"]:9.2f}'
            )
    if len(sys.argv) > 1:
        pathlib.Path(sys.argv[1]).write_text(json.dumps(rows))


def _measure(load: Load, policy: str) -> dict:
    """Returns mean durations, and the worst loss of a task against no wait."""
    means, others, remote, worst = [], [], [], 0.0
    for seed in SEEDS:
        plain = _replay(load, 'none', seed)
        tasks = plain if policy == 'none' else _replay(load, policy, seed)
        bound = [task for task in tasks if task.rack_bound]
        means.append(_mean(task.ended - task.arrives for task in bound))
        remote.append(_mean(100 * task.remote for task in bound))
        others.append(
            _mean(task.ended - task.arrives for task in tasks if not task.rack_bound)
        )
        worst = max(
            worst,
            *(
                task.ended - before.ended
                for task, before in zip(tasks, plain, strict=True)
                if task.rack_bound
            ),
        )
    return {
        'mean_s': _mean(means),
        'worst_s': worst,
        'remote_percent': _mean(remote),
        'others_s': _mean(others),
    }


def _replay(load: Load, policy: str, seed: int) -> list[Task]:
    rng = random.Random(seed)
    tasks = _create_tasks(load, rng)
    workers = _create_workers(load, rng)
    waiting, pending, now = [], list(tasks), 0.0
    while pending or waiting or any(w.task in tasks for w in workers if w.task):
        while pending and pending[0].arrives <= now:
            waiting.append(pending.pop(0))
        _end_runs(workers, now)
        _assign(waiting, tasks, workers, policy, now)
        now = round(now + STEP_S, 6)
    return tasks


def _create_tasks(load: Load, rng: random.Random) -> list[Task]:
    def create(arrives: float, *, rack_bound: bool) -> Task:
        length = rng.uniform(*load.lengths)
        error = _error(load, rng)
        return Task(arrives, length, length * error, rack_bound)

    tasks = [create(n * load.every, rack_bound=True) for n in range(load.tasks)]
    tasks += [create(0, rack_bound=False) for _ in range(load.others)]
    return sorted(tasks, key=lambda task: task.arrives)


def _create_workers(load: Load, rng: random.Random) -> list[Worker]:
    meter = LatenessMeter()
    workers = [
        Worker(
            number < load.near,
            load.slow if number < load.near else 1,
            meter,
            str(number),
        )
        for number in range(load.near + load.far)
    ]
    for worker in workers[: load.near]:
        worker.task = Task(0, 0, 0, rack_bound=False)
        if load.near_left is None:
            worker.ends = float('inf')
            continue
        left = rng.uniform(*load.near_left)
        length = max(left, rng.uniform(*load.lengths))
        worker.started, worker.planned = left - length, length
        worker.ends = max(0, worker.started + length * _error(load, rng) * worker.speed)
    return workers


def _end_runs(workers: list[Worker], now: float) -> None:
    for worker in workers:
        if worker.task is not None and worker.ends <= now:
            if worker.planned:
                ratio = (worker.ends - worker.started) / worker.planned
                worker.lateness.record(worker.name, ratio)
            worker.task.ended = worker.ends
            worker.task = None


def _assign(
    waiting: list[Task],
    tasks: list[Task],
    workers: list[Worker],
    policy: str,
    now: float,
) -> None:
    """Claims workers in the order of arrival, those with data on the rack first."""
    free_near = [each for each in workers if each.near and each.task is None]
    free_far = [each for each in workers if not each.near and each.task is None]
    places: list[NearPlace] = []
    demand = _demand(tasks, workers, now)
    others_wait = sum(not task.rack_bound for task in waiting) > len(free_far)
    for task in sorted(waiting, key=lambda each: not each.rack_bound):
        if task.rack_bound and free_near:
            worker = free_near.pop()
        elif not free_far:
            if not (free_near and not task.rack_bound):
                continue
            worker = free_near.pop()
        elif task.rack_bound:
            if not places:
                places = [each.place(now) for each in workers if each.near]
            if _waits(task, places, policy, now, demand, others_wait=others_wait):
                continue
            worker = free_far.pop()
        else:
            worker = free_far.pop()
        worker.start(task, now)
        waiting.remove(task)


def _demand(tasks: list[Task], workers: list[Worker], now: float) -> float:
    """Returns the share of the rack's time that recently arrived tasks ask for."""
    asked = sum(
        task.length
        for task in tasks
        if task.rack_bound and now - DEMAND_S < task.arrives <= now
    )
    return asked / (DEMAND_S * sum(worker.near for worker in workers))


def _waits(
    task: Task,
    places: list[NearPlace],
    policy: str,
    now: float,
    demand: float,
    *,
    others_wait: bool,
) -> bool:
    if task.declined_at is None:
        task.declined_at = now
    waited = now - task.declined_at
    if policy == 'none':
        return False
    if policy == 'constant':
        return waited < 1
    if policy == 'job':
        return waited < (FACTOR - 1) * task.length
    factor = FACTOR
    if policy == 'value' or (policy == 'value, load' and not others_wait):
        # The near slot is taken from a task that arrives later, if one does.
        factor = 1 + (FACTOR - 1) * max(0.0, 1 - demand)
    if policy == 'half gain':
        factor = 1 + (FACTOR - 1) / 2
    margin = {'no margin': 0.0, 'full margin': 1.0}.get(policy, 0.5)
    length = _time(task.length)
    slots = NearSlots(places, ONE, length, _time(now))
    request = NearRequest(length, _time(task.declined_at), NO_DEADLINE)
    decision = NearWait(factor, margin).decide(request, slots.earliest(), _time(now))
    if decision.waits:
        slots.book()
        places[:] = slots.places()
    return decision.waits


def _error(load: Load, rng: random.Random) -> float:
    low, high = load.errors
    return low * (high / low) ** rng.random()


def _mean(amounts) -> float:
    amounts = list(amounts)
    return sum(amounts) / max(len(amounts), 1)


def _time(amount_s: float) -> timedelta:
    return timedelta(seconds=amount_s)


if __name__ == '__main__':
    main()
