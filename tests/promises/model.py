"""The naive model: what workers' logs must never show.

Each function looks at all runs of a test and returns a description of every
violation. None of them knows how the scheduler works.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from chiveworks.base import Resources
from standins.workers import SimulatedWorker

#: Promise 4, in milliseconds.
START_LIMIT_MS = 3000
FOREVER = float('inf')


@dataclass(frozen=True, order=True)
class Run:
    """One attempt on one worker."""

    began_ms: float
    ended_ms: float
    worker: str
    task_id: str
    attempt: int
    state: str


def runs_of(workers: dict[str, SimulatedWorker]) -> list[Run]:
    """Returns the runs on all workers, oldest first."""
    runs = []
    for name, worker in workers.items():
        worker.settle()
        begun = {}
        for event in worker.log.events:
            key = (event.task_id, event.attempt)
            if event.event == 'start':
                begun[key] = event.at_ms
            else:
                span = (begun.pop(key), event.at_ms)
                runs.append(Run(*span, name, *key, event.state))
        for key, at_ms in begun.items():
            runs.append(Run(at_ms, FOREVER, name, *key, 'running'))
    return sorted(runs)


def overcommitted(
    workers: dict[str, SimulatedWorker], capacity: Resources
) -> list[str]:
    """Promise 1: the greatest sum ever committed fits the worker."""
    return [
        f'{name} held {worker.log.greatest}'
        for name, worker in workers.items()
        if not worker.log.greatest.fits_in(capacity)
    ]


def overlapping(runs: Iterable[Run]) -> list[str]:
    """Promise 2: a run begins only after the task's former run has ended."""
    ended: dict[str, float] = {}
    found = []
    for run in sorted(runs):
        if run.began_ms < ended.get(run.task_id, 0):
            found.append(f'{run} began before its former run had ended')
        ended[run.task_id] = max(ended.get(run.task_id, 0), run.ended_ms)
    return found


def finished_twice(runs: Iterable[Run]) -> list[str]:
    """Promise 3: no task runs to its end twice."""
    count: dict[str, int] = defaultdict(int)
    for run in runs:
        count[run.task_id] += run.state == 'finished'
    return [
        f'{one} finished {times} times' for one, times in count.items() if times > 1
    ]


def ran_again(runs: Iterable[Run], task_ids: Iterable[str]) -> list[str]:
    """Tasks that can't be repeated nor resumed have at most one run."""
    strict = set(task_ids)
    count: dict[str, int] = defaultdict(int)
    for run in runs:
        count[run.task_id] += run.task_id in strict
    return [f'{one} ran {times} times' for one, times in count.items() if times > 1]


def late_starts(
    runs: Iterable[Run], zone: str, spans: Iterable[tuple[float, float]]
) -> list[str]:
    """Promise 4: no start later than 3 s into a span in which the zone was out."""
    periods = tuple(spans)
    return [
        f'{run} began {run.began_ms - out_ms} ms after its zone was taken out'
        for run in runs
        for out_ms, back_ms in periods
        if run.worker.startswith(f'{zone}-')
        and out_ms + START_LIMIT_MS < run.began_ms < back_ms
    ]


def started_after(
    runs: Iterable[Run], at_ms: dict[str, float], in_flight_ms: float
) -> list[str]:
    """A task of a cancelled job never starts after the cancellation's answer.

    A start that the network held at that moment may arrive while its ticket is
    valid, `in_flight_ms` later; its task is not reported as cancelled before.
    """
    return [
        f'{run} began after its cancellation at {at_ms[job_id]}'
        for run in runs
        if (job_id := run.task_id.rpartition('/')[0]) in at_ms
        and run.began_ms > at_ms[job_id] + in_flight_ms
    ]
