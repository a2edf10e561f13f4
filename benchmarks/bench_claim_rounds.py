"""Time of a round of claims on the users' platform, by number of workers.

Prints a table and, with a path as the argument, writes the rows there as JSON.
Serving tasks of one image take 80% of each worker; filling tasks of 18 images wait.
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
from chiveworks.dispatch._assigner import Assigner
from chiveworks.dispatch._interference_model import InterferenceModel
from chiveworks.dispatch._interference_weight import InterferenceWeight
from chiveworks.dispatch._placer import Placer
from chiveworks.dispatch._worker_lease import WorkerLease
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import Job, JobSpec, QueuePolicy, StepSpec, Submission

WORKER_COUNTS = (30, 100, 300)
SERVING_IMAGES, FILLING_IMAGES = 10, 18
#: Steps that wait for each ten workers, as in a burst of the grown deployments.
STEPS_PER_TEN = 3
TASKS_PER_STEP = 20
HARMFUL_SHARE = 0.25
LEASE_LIMIT = timedelta(seconds=6)
GIGABYTE = 1024**3
QUEUE = QueuePolicy('queue', 'pool')
_CLOCK = SystemClock()


def main() -> None:
    """Measures one round with claims and one without, three seeds each."""
    print('workers  waiting  claimed  first round ms  next round ms  (medians)')
    rows = []
    for workers in WORKER_COUNTS:
        runs = sorted(_measure(workers, seed) for seed in range(3))
        first_ms, next_ms, waiting, claimed = runs[1]
        rows.append({'workers': workers, 'first_ms': first_ms, 'next_ms': next_ms})
        print(f'{workers:7} {waiting:8} {claimed:8} {first_ms:15.1f} {next_ms:14.1f}')
    if len(sys.argv) > 1:
        pathlib.Path(sys.argv[1]).write_text(json.dumps(rows))


def _measure(count: int, seed: int) -> tuple[float, float, int, int]:
    source = random.Random(seed)
    placer = Placer(
        _CLOCK, _create_workers(count, source), lambda _zone: False, _model(source)
    )
    ready = dict.fromkeys(
        _create_step(number, source) for number in range(count * STEPS_PER_TEN // 10)
    )
    waiting = len(ready) * TASKS_PER_STEP
    log = SimpleNamespace(write=lambda *_event, **_fields: None)
    table = SimpleNamespace(ready=ready)
    assigner = Assigner(_CLOCK, log, table, placer, lambda _job: 'pool', None)
    first_ms, claimed = _time_round(assigner)
    next_ms, _none = _time_round(assigner)
    return first_ms, next_ms, waiting, claimed


def _time_round(assigner: Assigner) -> tuple[float, int]:
    began_at = time.perf_counter()
    claimed = assigner.assign()
    return (time.perf_counter() - began_at) * 1000, len(claimed)


def _model(source: random.Random) -> InterferenceModel:
    model = InterferenceModel()
    for serving in range(SERVING_IMAGES):
        model.weights_[f's{serving}'] = {
            f'f{filling}': InterferenceWeight(
                7 if source.random() < HARMFUL_SHARE else 1, 0.1
            )
            for filling in range(FILLING_IMAGES)
        }
    return model


def _create_workers(count: int, source: random.Random) -> dict[WorkerId, WorkerView]:
    workers = {}
    for number in range(count):
        name = WorkerId(f'w{number}')
        capacity = Resources(16_000, 64 * GIGABYTE)
        info = WorkerInfo(name, 'pool', name, ZoneName('zone'), False, capacity)
        worker = WorkerView(info, None, WorkerLease(LEASE_LIMIT, _CLOCK.monotonic()))
        worker.live = True
        worker.lease.observe_clock(timedelta(), _CLOCK.monotonic())
        image = f's{source.randrange(SERVING_IMAGES)}'
        for position in range(4):
            _serve(worker, f'{name}-{position}', image)
        workers[name] = worker
    return workers


def _serve(worker: WorkerView, name: str, image: str) -> None:
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


def _create_step(number: int, source: random.Random):
    spec = StepSpec(
        TASKS_PER_STEP,
        Resources(source.choice((1200, 1800, 2500)), 3 * GIGABYTE),
        image=f'f{source.randrange(FILLING_IMAGES)}',
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
