"""Tests which serving tasks are moved to workers with similar serving tasks."""

from datetime import timedelta

import pytest

from chiveworks.base import JobId, ManualClock, Resources, WorkerId, ZoneName
from chiveworks.dispatch import WorkerInfo
from chiveworks.dispatch._consolidator import Consolidator
from chiveworks.dispatch._interference_model import InterferenceModel
from chiveworks.dispatch._interference_weight import InterferenceWeight
from chiveworks.dispatch._placer import Placer
from chiveworks.dispatch._worker_lease import WorkerLease
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.dispatch.tests.deployment import QUEUE, RecordingLog
from chiveworks.workflow import Job, JobSpec, StepSpec, Submission, TaskState

GIGABYTE = 1024**3
LEASE = timedelta(seconds=6)


class FakeFleet:
    """Workers of 10 cores with serving tasks of 4 cores; records stops."""

    def __init__(self):
        self.clock = ManualClock()
        self.clock.shift(timedelta(seconds=60))
        self.model = InterferenceModel()
        self.model.weights_ = {
            'fast': {
                'loud': InterferenceWeight(7, 0.1),
                'calm': InterferenceWeight(1, 0.1),
            },
            'quick': {'loud': InterferenceWeight(6, 0.1)},
            'steady': {
                'loud': InterferenceWeight(1, 0.1),
                'calm': InterferenceWeight(1, 0.1),
            },
        }
        self.workers = {}
        self.stopped = []
        self.interrupted = None
        self.placer = Placer(self.clock, self.workers, lambda zone: False, self.model)
        self.consolidator = Consolidator(
            self.clock,
            RecordingLog(self.clock),
            self.workers,
            self,
            self.placer,
            self.model,
            lambda: True,
            lambda: self.interrupted,
        )

    def stop(self, task, _reason):
        self.stopped.append((task.spec.image, task.worker, task.reserved_worker))
        task.state = TaskState.STOPPING

    def worker(self, name, *images):
        """Adds a worker with one serving task per image, each of its own job."""
        capacity = Resources(10_000, 64 * GIGABYTE)
        info = WorkerInfo(WorkerId(name), 'pool', name, ZoneName('z'), False, capacity)
        worker = WorkerView(info, None, WorkerLease(LEASE, self.clock.monotonic()))
        worker.live = True
        worker.lease.observe_clock(timedelta(), self.clock.monotonic())
        self.workers[worker.worker_id] = worker
        return [self._serve(worker, image) for image in images]

    def _serve(self, worker, image):
        spec = StepSpec(
            1,
            Resources(4000, GIGABYTE),
            long_running=True,
            image=image,
            latency_target=timedelta(milliseconds=20),
        )
        name = f'{worker.worker_id}{len(worker.tasks)}'
        submission = Submission(
            JobId(name), QUEUE, JobSpec('', (spec,)), accepted_at=self.clock.now()
        )
        job = Job(submission, self.clock.monotonic())
        task = job.open_occurrence(0)[0].tasks[0]
        task.claim(worker.worker_id)
        task.state = TaskState.RUNNING
        task.started_at = self.clock.monotonic() - timedelta(seconds=10)
        task.progress_percent = 100
        worker.add(task)
        return task

    def end(self, task):
        """Ends the run of a stopped task, which then waits again."""
        self.workers[task.worker].remove(task)
        task.release()
        task.waiting_since = self.clock.monotonic()

    def choose(self, task):
        return self.placer.choose(task, list(self.workers.values()))

    def check(self):
        self.clock.shift(timedelta(seconds=1))
        self.consolidator.check()


@pytest.fixture
def fleet():
    return FakeFleet()


def test_misplaced_tasks_are_exchanged(fleet):
    """Guards against workers on which almost every filling image is harmful."""
    fleet.worker('w1', 'fast', 'steady')
    fleet.worker('w2', 'steady', 'fast')
    fleet.check()
    assert sorted(fleet.stopped) == [('fast', 'w2', 'w1'), ('steady', 'w1', 'w2')]


def test_a_misplaced_task_moves_to_free_capacity(fleet):
    """Guards against an exchange where a move is enough."""
    fleet.worker('w1', 'fast', 'steady')
    fleet.worker('w2', 'steady')
    fleet.check()
    assert fleet.stopped == [('steady', 'w1', 'w2')]
    assert fleet.workers[WorkerId('w2')].allocated.cpu_millicores == 8000


def test_images_that_the_same_tasks_disturb_stay_together(fleet):
    """Guards against moves that make no worker suitable for more filling tasks."""
    fleet.worker('w1', 'fast', 'quick')
    fleet.worker('w2', 'quick')
    fleet.check()
    assert not fleet.stopped


def test_a_step_with_an_unavailable_task_is_not_moved(fleet):
    """Guards against a move that makes a second task of a step unavailable."""
    tasks = fleet.worker('w1', 'fast', 'steady')
    fleet.worker('w2', 'steady')
    tasks[1].progress_percent = 0
    fleet.check()
    assert not fleet.stopped


def test_a_reservation_is_freed_when_a_move_times_out(fleet):
    """Guards against resources that stay reserved for a task that never arrives."""
    fleet.worker('w1', 'fast', 'steady')
    fleet.worker('w2', 'steady')
    fleet.check()
    fleet.clock.shift(timedelta(seconds=5))
    fleet.check()
    assert fleet.workers[WorkerId('w2')].allocated.cpu_millicores == 4000


def test_a_moved_task_waits_until_its_partner_has_left(fleet):
    """Guards against two tasks on the same resources, and against a moved task that
    starts on another worker because its exchange partner takes longer to stop."""
    _fast, steady = fleet.worker('w1', 'fast', 'steady')
    other, fast = fleet.worker('w2', 'steady', 'fast')
    fleet.worker('w3')
    fleet.check()
    fleet.end(steady)
    assert fleet.choose(steady) is None
    fleet.end(fast)
    assert fleet.choose(steady).worker_id == 'w2'
    assert other.state is TaskState.RUNNING


def test_a_moved_task_goes_elsewhere_when_its_target_has_left(fleet):
    """Guards against a task that waits for its reservation on a lost worker."""
    _fast, steady = fleet.worker('w1', 'fast', 'steady')
    fleet.worker('w2', 'steady')
    fleet.check()
    fleet.end(steady)
    fleet.workers[WorkerId('w2')].live = False
    fleet.clock.shift(timedelta(seconds=2))
    candidates = [fleet.workers[WorkerId('w1')]]
    assert fleet.placer.choose(steady, candidates).worker_id == 'w1'


@pytest.mark.parametrize(
    ('cores', 'moves'), [(4, 0), (6, 0), (7, 2)], ids=['smaller', 'as_large', 'larger']
)
def test_no_exchange_empties_room_that_an_interrupted_task_lacks(fleet, cores, moves):
    """Guards against room that stays unused for an exchange while a lasting task waits
    for it after the loss of its worker."""
    fleet.worker('w1', 'fast', 'steady')
    fleet.worker('w2', 'steady', 'fast')
    fleet.interrupted = StepSpec(1, Resources(1000 * cores, 1), long_running=True)
    fleet.check()
    assert len(fleet.stopped) == moves


@pytest.mark.parametrize(('cores', 'moves'), [(4, 0), (7, 1)])
def test_no_move_takes_room_that_an_interrupted_task_lacks(fleet, cores, moves):
    """Guards against a move to the only worker with room for a lasting task that waits
    after the loss of its worker."""
    fleet.worker('w1', 'fast', 'steady')
    fleet.worker('w2', 'steady')
    fleet.interrupted = StepSpec(1, Resources(1000 * cores, 1), long_running=True)
    fleet.check()
    assert len(fleet.stopped) == moves
