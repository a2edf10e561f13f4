"""Duration of a claim round in which tasks want workers near their data or group.

400 workers in 16 racks run short tasks, and 1,000 tasks wait in 100 steps: half with
their data on the first rack, a quarter on other racks, a quarter tightly coupled. All
workers are full (no task can start), or those outside of the first rack have room.
Prints a table and, if a path is given as the argument, writes the rows to it as JSON.
"""

import gc
import json
import pathlib
import statistics
import sys
import time
from datetime import timedelta
from types import SimpleNamespace

from chiveworks.base import JobId, RackName, Resources, SystemClock, WorkerId, ZoneName
from chiveworks.dispatch import WorkerInfo
from chiveworks.dispatch._account_gate import AccountGate, no_accounts
from chiveworks.dispatch._assigner import Assigner
from chiveworks.dispatch._interference_model import InterferenceModel
from chiveworks.dispatch._placer import Placer
from chiveworks.dispatch._run_lateness import RunLateness
from chiveworks.dispatch._worker_lease import WorkerLease
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import Job, JobSpec, QueuePolicy, StepSpec, Submission

WORKERS, RACKS = 400, 16
RUNS_PER_WORKER = 8
STEPS, TASKS_PER_STEP = 100, 10
REPETITIONS = 5
LEASE_LIMIT = timedelta(seconds=6)
GIGABYTE = 1024**3
DEMAND = Resources(2000, GIGABYTE)
QUEUE = QueuePolicy('queue', 'pool', stretch=10)
_CLOCK = SystemClock()


def main() -> None:
    """Measures the first round and the next one, with and without waits."""
    print('room       factor  claimed  first round ms  next round ms  (medians)')
    rows = []
    for room in ('none', 'elsewhere'):
        for factor in (1.0, 1.5, 3.0):
            runs = [_measure(room, factor) for _ in range(REPETITIONS)]
            first_ms, next_ms, claimed = map(statistics.median, zip(*runs, strict=True))
            rows.append(
                {
                    'room': room,
                    'factor': factor,
                    'first_ms': first_ms,
                    'next_ms': next_ms,
                }
            )
            print(f'{room:10} {factor:6} {claimed:8} {first_ms:15.1f} {next_ms:14.1f}')
    if len(sys.argv) > 1:
        pathlib.Path(sys.argv[1]).write_text(json.dumps(rows))


def _measure(room: str, factor: float) -> tuple[float, float, int]:
    workers = _create_workers(room)
    placer = Placer(_CLOCK, workers, lambda _zone: False, InterferenceModel())
    ready = dict.fromkeys(_create_step(number) for number in range(STEPS))
    log = SimpleNamespace(write=lambda *_event, **_fields: None)
    assigner = Assigner(
        _CLOCK,
        log,
        SimpleNamespace(ready=ready),
        placer,
        lambda _job: 'pool',
        None,
        AccountGate(_CLOCK, log, lambda _job: 'pool', no_accounts),
        RunLateness(factor),
    )
    first_ms, claimed = _time_round(assigner)
    next_ms, _ = _time_round(assigner)
    return first_ms, next_ms, claimed


def _time_round(assigner: Assigner) -> tuple[float, int]:
    """Returns the duration of a whole round, in as many parts as it takes."""
    # Other processes and collections of the benchmark's many objects do not count.
    gc.disable()
    started_at = time.process_time()
    claimed = len(assigner.assign())
    while assigner.unfinished:
        claimed += len(assigner.assign())
    gc.enable()
    return (time.process_time() - started_at) * 1000, claimed


def _create_workers(room: str) -> dict[WorkerId, WorkerView]:
    workers = {}
    for number in range(WORKERS):
        name = WorkerId(f'w{number}')
        info = WorkerInfo(
            name,
            'pool',
            name,
            ZoneName('zone'),
            draining=False,
            capacity=Resources(16_000, 64 * GIGABYTE),
            rack=RackName(f'r{number % RACKS}'),
        )
        worker = WorkerView(info, None, WorkerLease(LEASE_LIMIT, _CLOCK.monotonic()))
        worker.live = True
        worker.lease.observe_clock(timedelta(), _CLOCK.monotonic())
        is_full = room == 'none' or number % RACKS == 0
        for position in range(RUNS_PER_WORKER - (not is_full)):
            _add_run(worker, position)
        workers[name] = worker
    return workers


def _add_run(worker: WorkerView, position: int) -> None:
    spec = StepSpec(1, DEMAND, timedelta(seconds=2))
    task = (
        _create_job(f'{worker.worker_id}-{position}', spec)
        .open_occurrence(0)[0]
        .tasks[0]
    )
    task.claim(worker.worker_id)
    task.started_at = _CLOCK.monotonic() - timedelta(seconds=position / 4)
    worker.add(task)


def _create_step(number: int):
    rack, coupled = 'r0', False
    if number % 4 == 1:
        rack = f'r{number % RACKS}'
    if number % 4 == 3:
        rack, coupled = '', True
    spec = StepSpec(
        TASKS_PER_STEP,
        DEMAND,
        timedelta(seconds=2),
        data_rack=RackName(rack),
        tightly_coupled=coupled,
    )
    return _create_job(f'job-{number}', spec).open_occurrence(0)[0]


def _create_job(name: str, spec: StepSpec) -> Job:
    submission = Submission(
        JobId(name), QUEUE, JobSpec('', (spec,)), accepted_at=_CLOCK.now()
    )
    return Job(submission, _CLOCK.monotonic())


if __name__ == '__main__':
    main()
