"""Tests how the guard slows filling tasks down beside serving tasks."""

from datetime import timedelta

import pytest

from chiveworks.base import JobId, ManualClock, Resources, WorkerId, ZoneName
from chiveworks.dispatch import WorkerInfo
from chiveworks.dispatch._interference_guard import (
    ESCALATION_DELAY,
    MIN_CHANGE_INTERVAL,
    InterferenceGuard,
)
from chiveworks.dispatch._interference_model import InterferenceModel
from chiveworks.dispatch._interference_weight import InterferenceWeight
from chiveworks.dispatch._worker_lease import WorkerLease
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import (
    UNKNOWN_PACE,
    Job,
    JobSpec,
    QueuePolicy,
    StepSpec,
    Submission,
    TaskState,
)

CORES = 40
TARGET_MS = 100


class FakeOrders:
    def __init__(self):
        self.stopped = []

    def set_pace(self, worker, task, percent):
        worker.set_pace(task, percent)

    def stop(self, task, _reason):
        self.stopped.append(task)


class FakePlacer:
    better = False

    def has_better_worker(self, _worker, _task):
        return self.better


class Bench:
    """A worker with a serving task and filling tasks that take 0.6 headroom each."""

    def __init__(self, *, checkpointed=False, weight=6.0):
        self.weight = weight
        self.clock = ManualClock()
        self.orders = FakeOrders()
        self.placer = FakePlacer()
        self.model = InterferenceModel()
        self.guard = InterferenceGuard(self.clock, self.orders, self.placer, self.model)
        info = WorkerInfo(
            *(WorkerId('w'), 'pool', 'w', ZoneName('z'), False),
            Resources(1000 * CORES, 1),
        )
        self.worker = WorkerView(
            info, None, WorkerLease(timedelta(hours=1), timedelta())
        )
        self.serving = self.run(
            'serving',
            StepSpec(
                *(1, Resources(8000)),
                image='service',
                long_running=True,
                latency_target=timedelta(milliseconds=TARGET_MS),
            ),
        )
        self.serving.progress_percent = 100
        self.filling = [
            self.run(
                f'filling{number}',
                StepSpec(
                    *(1, Resources(4000), timedelta(seconds=4)),
                    image='batch',
                    fills=True,
                    checkpointed=checkpointed,
                ),
            )
            for number in range(3)
        ]

    def run(self, name, step):
        spec = JobSpec('', (step,))
        queue = QueuePolicy('q', 'pool')
        job = Job(
            Submission(JobId(name), queue, spec, accepted_at=self.clock.now()),
            timedelta(),
        )
        (task,) = job.open_occurrence(0)[0].tasks
        task.claim(self.worker.worker_id)
        task.state = TaskState.RUNNING
        task.measured = step.demand.cpu_millicores
        self.worker.add(task)
        return task

    def report(self, headroom):
        """Reports a headroom of the serving task often enough to be believed."""
        self.model.weights_.clear()
        self.model.baselines_.clear()
        self.model.weights_['service'] = {
            'batch': InterferenceWeight(self.weight, 0.01)
        }
        self.serving.measured = TARGET_MS / headroom
        for task in self.filling:
            pace = max(task.pace_percent, 0)
            task.measured = task.spec.demand.cpu_millicores * pace // 100
        # No change follows another one so soon, so only the last report counts.
        for _report in range(29):
            self.guard._changed_at[self.worker.worker_id] = self.clock.monotonic()
            self.guard.observe(self.worker)
        self.guard._changed_at.clear()
        self.guard.observe(self.worker)
        return [task.pace_percent for task in self.filling]


def test_a_small_lack_of_headroom_slows_one_task_down():
    """Guards against whole tasks that are paused although a part of one is enough."""
    paces = Bench().report(1.1)
    assert sorted(paces)[1:] == [100, 100]
    assert 0 < min(paces) < 100


def test_all_tasks_are_paused_while_the_target_stays_missed():
    """Guards against a serving task that stays over its target for whatever cause."""
    bench = Bench()
    bench.report(0.9)
    bench.clock.shift(ESCALATION_DELAY + MIN_CHANGE_INTERVAL)
    assert bench.report(0.9) == [0, 0, 0]


def test_the_most_likely_cause_is_paused_if_the_target_is_missed():
    """Guards against a missed target that the forecast doesn't explain."""
    assert sorted(Bench(weight=0.5).report(0.95)) == [0, 100, 100]


def test_paces_rise_with_the_headroom():
    """Guards against tasks that stay slow after the load of the serving task fell."""
    bench = Bench()
    bench.report(0.9)
    bench.clock.shift(MIN_CHANGE_INTERVAL)
    assert bench.report(4.0) == [100, 100, 100]


def test_a_pace_that_was_not_confirmed_is_set_again():
    """Guards against a task that stays paused since an order was lost."""
    bench = Bench()
    bench.filling[0].pace_percent = UNKNOWN_PACE
    assert bench.report(4.0) == [100, 100, 100]


@pytest.mark.parametrize('better', [False, True])
def test_a_slow_task_with_checkpoints_moves_if_there_is_a_better_worker(better):
    """Guards against tasks that crawl while another worker is free, and against stops
    of tasks that could not start elsewhere."""
    bench = Bench(checkpointed=True)
    bench.placer.better = better
    bench.report(0.9)
    assert bool(bench.orders.stopped) is better
