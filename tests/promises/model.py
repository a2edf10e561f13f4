"""Reference model: invariants that the workers' logs must never violate.

Each function examines all runs of a test and returns a description of every
violation. The functions don't depend on how the scheduler works.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from chiveworks.base import Resources
from standins.workers import SimulatedWorker

#: Promise 4: how long tasks may still start in a zone that was taken out.
START_LIMIT_MS = 3000
FOREVER = float('inf')


@dataclass(frozen=True, order=True)
class Run:
    """One attempt of a task on one worker."""

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
        worker.advance_to_now()
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
    """Promise 1: the peak of the committed resources fits the worker's capacity."""
    return [
        f'{name} held {worker.log.greatest}'
        for name, worker in workers.items()
        if not worker.log.greatest.fits_in(capacity)
    ]


def overlapping(runs: Iterable[Run]) -> list[str]:
    """Promise 2: a run begins only after the task's previous run has ended."""
    ended: dict[str, float] = {}
    found = []
    for run in sorted(runs):
        if run.began_ms < ended.get(run.task_id, 0):
            found.append(f"{run} began before the task's previous run had ended")
        ended[run.task_id] = max(ended.get(run.task_id, 0), run.ended_ms)
    return found


def finished_twice(runs: Iterable[Run]) -> list[str]:
    """Promise 3: no task finishes twice."""
    count: dict[str, int] = defaultdict(int)
    for run in runs:
        count[run.task_id] += run.state == 'finished'
    return [
        f'{task_id} finished {times} times'
        for task_id, times in count.items()
        if times > 1
    ]


def ran_again(runs: Iterable[Run], task_ids: Iterable[str]) -> list[str]:
    """Tasks that can be neither repeated nor resumed have at most one run."""
    single_run_ids = set(task_ids)
    count: dict[str, int] = defaultdict(int)
    for run in runs:
        count[run.task_id] += run.task_id in single_run_ids
    return [
        f'{task_id} ran {times} times' for task_id, times in count.items() if times > 1
    ]


def late_starts(
    runs: Iterable[Run], zone: str, spans: Iterable[tuple[float, float]]
) -> list[str]:
    """Promise 4: no task starts in a zone that has been out for more than 3 s."""
    periods = tuple(spans)
    return [
        f'{run} began {run.began_ms - out_ms} ms after its zone was taken out'
        for run in runs
        for out_ms, back_ms in periods
        if run.worker.startswith(f'{zone}-')
        and out_ms + START_LIMIT_MS < run.began_ms < back_ms
    ]


def started_after_cancellation(
    runs: Iterable[Run], at_ms: dict[str, float], in_flight_ms: float
) -> list[str]:
    """No task of a cancelled job starts after the cancellation was answered.

    A start command that is in flight at that moment may still arrive while its
    ticket is valid, up to `in_flight_ms` later. Its task is not reported as
    cancelled before then.
    """
    return [
        f'{run} began after its cancellation at {at_ms[job_id]}'
        for run in runs
        if (job_id := run.task_id.rpartition('/')[0]) in at_ms
        and run.began_ms > at_ms[job_id] + in_flight_ms
    ]
