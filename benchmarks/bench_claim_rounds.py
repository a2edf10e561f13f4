"""Duration of a claim round of the dispatcher, by number of workers.

Serving tasks of one image occupy 80% of each worker's CPU, and filling tasks of 18
images are waiting. Prints a table and, if a path is given as the argument, writes
the rows to it as JSON.
"""

import json
import pathlib
import random
import sys
import time
from datetime import timedelta
from types import SimpleNamespace

from chiveworks.base import JobId, Resources, SystemClock, WorkerId, ZoneName
from chiveworks.dispatch import WorkerInfo
from chiveworks.dispatch._account_gate import AccountGate, no_accounts
from chiveworks.dispatch._assigner import Assigner
from chiveworks.dispatch._interference_model import InterferenceModel
from chiveworks.dispatch._interference_weight import InterferenceWeight
from chiveworks.dispatch._placer import Placer
from chiveworks.dispatch._worker_lease import WorkerLease
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import Job, JobSpec, QueuePolicy, StepSpec, Submission

WORKER_COUNTS = (30, 100, 300)
SERVING_IMAGES, FILLING_IMAGES = 10, 18
#: Steps waiting for every ten workers, as in a burst on the larger deployments.
STEPS_PER_TEN_WORKERS = 3
TASKS_PER_STEP = 20
STRONG_INTERFERENCE_SHARE = 0.25
LEASE_LIMIT = timedelta(seconds=6)
GIGABYTE = 1024**3
QUEUE = QueuePolicy('queue', 'pool')
_CLOCK = SystemClock()


def main() -> None:
    """Measures a round with claims and the next without, for three seeds each."""
    print('workers  waiting  claimed  first round ms  next round ms  (medians)')
    rows = []
    for workers in WORKER_COUNTS:
        runs = sorted(_measure_rounds(workers, seed) for seed in range(3))
        first_ms, next_ms, waiting, claimed = runs[1]
        rows.append({'workers': workers, 'first_ms': first_ms, 'next_ms': next_ms})
        print(f'{workers:7} {waiting:8} {claimed:8} {first_ms:15.1f} {next_ms:14.1f}')
    if len(sys.argv) > 1:
        pathlib.Path(sys.argv[1]).write_text(json.dumps(rows))


def _measure_rounds(count: int, seed: int) -> tuple[float, float, int, int]:
    rng = random.Random(seed)
    placer = Placer(
        _CLOCK,
        _create_workers(count, rng),
        lambda _zone: False,
        _create_interference_model(rng),
    )
    ready = dict.fromkeys(
        _create_step(number, rng)
        for number in range(count * STEPS_PER_TEN_WORKERS // 10)
    )
    waiting = len(ready) * TASKS_PER_STEP
    log = SimpleNamespace(write=lambda *_event, **_fields: None)
    table = SimpleNamespace(ready=ready)
    gate = AccountGate(_CLOCK, log, lambda _job: 'pool', no_accounts)
    assigner = Assigner(_CLOCK, log, table, placer, lambda _job: 'pool', None, gate)
    first_ms, claimed = _time_round(assigner)
    next_ms, _ = _time_round(assigner)
    return first_ms, next_ms, waiting, claimed


def _time_round(assigner: Assigner) -> tuple[float, int]:
    started_at = time.perf_counter()
    claimed = assigner.assign()
    return (time.perf_counter() - started_at) * 1000, len(claimed)


def _create_interference_model(rng: random.Random) -> InterferenceModel:
    model = InterferenceModel()
    for serving in range(SERVING_IMAGES):
        model.weights_[f's{serving}'] = {
            f'f{filling}': InterferenceWeight(
                7 if rng.random() < STRONG_INTERFERENCE_SHARE else 1, 0.1
            )
            for filling in range(FILLING_IMAGES)
        }
    return model


def _create_workers(count: int, rng: random.Random) -> dict[WorkerId, WorkerView]:
    workers = {}
    for number in range(count):
        name = WorkerId(f'w{number}')
        capacity = Resources(16_000, 64 * GIGABYTE)
        info = WorkerInfo(name, 'pool', name, ZoneName('zone'), False, capacity)
        worker = WorkerView(info, None, WorkerLease(LEASE_LIMIT, _CLOCK.monotonic()))
        worker.live = True
        worker.lease.observe_clock(timedelta(), _CLOCK.monotonic())
        image = f's{rng.randrange(SERVING_IMAGES)}'
        for position in range(4):
            _add_serving_task(worker, f'{name}-{position}', image)
        workers[name] = worker
    return workers


def _add_serving_task(worker: WorkerView, name: str, image: str) -> None:
    spec = StepSpec(
        1,
        Resources(3200, 6 * GIGABYTE),
        image=image,
        latency_target=timedelta(milliseconds=20),
        long_running=True,
    )
    task = _create_job(name, spec).open_occurrence(0)[0].tasks[0]
    task.claim(worker.worker_id)
    worker.add(task)


def _create_step(number: int, rng: random.Random):
    spec = StepSpec(
        TASKS_PER_STEP,
        Resources(rng.choice((1200, 1800, 2500)), 3 * GIGABYTE),
        image=f'f{rng.randrange(FILLING_IMAGES)}',
        fills=True,
    )
    return _create_job(f'fill-{number}', spec).open_occurrence(0)[0]


def _create_job(name: str, spec: StepSpec) -> Job:
    submission = Submission(
        JobId(name), QUEUE, JobSpec('', (spec,)), accepted_at=_CLOCK.now()
    )
    return Job(submission, _CLOCK.monotonic())


if __name__ == '__main__':
    main()
