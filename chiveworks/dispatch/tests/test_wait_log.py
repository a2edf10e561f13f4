"""Lines about lasting tasks that wait for a worker."""

from datetime import timedelta

import pytest

from chiveworks.base import JobId, ManualClock, Resources, WorkerId, ZoneName
from chiveworks.dispatch import WorkerInfo
from chiveworks.dispatch._account_gate import AccountGate, no_accounts
from chiveworks.dispatch._advice import TicketCache
from chiveworks.dispatch._assigner import Assigner
from chiveworks.dispatch._interference_model import InterferenceModel
from chiveworks.dispatch._job_table import JobTable
from chiveworks.dispatch._placer import Placer
from chiveworks.dispatch._progress_writer import ProgressWriter
from chiveworks.dispatch._worker_lease import WorkerLease
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.dispatch.tests.deployment import (
    QUEUE,
    RecordingLog,
    SingleWorkerAdvisor,
)
from chiveworks.workflow import (
    JobSpec,
    QueuePolicy,
    StepSpec,
    Submission,
)

GIGABYTE = 1024**3
LARGE = Resources(3000, GIGABYTE)
LEASE = timedelta(seconds=600)
LATER = QueuePolicy('later', 'pool', priority=1)


class Rounds:
    """Workers of 4 cores, jobs, and an assigner whose rounds are started by the test."""

    def __init__(self):
        self.clock = ManualClock()
        self.clock.shift(timedelta(seconds=60))
        self.log = RecordingLog(self.clock)
        self.workers = {}
        self.table = JobTable(
            self.clock,
            self.log,
            ProgressWriter(None, self.clock, lambda _job: None),
            lambda _task, _reason: None,
            timedelta(),
        )
        placer = Placer(
            self.clock, self.workers, lambda _zone: False, InterferenceModel()
        )
        self.assigner = Assigner(
            self.clock,
            self.log,
            self.table,
            placer,
            lambda job: job.queue.service,
            TicketCache(self.clock, self.log, SingleWorkerAdvisor()),
            AccountGate(
                self.clock, self.log, lambda job: job.queue.service, no_accounts
            ),
        )

    def worker(self, name):
        capacity = Resources(4000, 64 * GIGABYTE)
        info = WorkerInfo(WorkerId(name), 'pool', name, ZoneName('z'), False, capacity)
        worker = WorkerView(info, None, WorkerLease(LEASE, self.clock.monotonic()))
        worker.live = True
        worker.lease.observe_clock(timedelta(), self.clock.monotonic())
        self.workers[worker.worker_id] = worker
        return worker

    def submit(self, name, *, queue=QUEUE, demand=LARGE, count=1, **fields):
        """Adds a job of one lasting step; returns its tasks."""
        fields.setdefault('long_running', True)
        spec = JobSpec('', (StepSpec(count, demand, **fields),))
        job = self.table.add(
            Submission(JobId(name), queue, spec, accepted_at=self.clock.now())
        )
        return job.occurrences[0][0].tasks

    def interrupt(self, task):
        """Ends the run of a task, which then waits again."""
        self.workers[task.worker].remove(task)
        self.table.requeue(task)

    def reserve(self, task, target):
        task.reserved_worker = target.worker_id
        target.reserve(task)

    def play(self, seconds):
        """Plays a round every 50 ms; returns the lines that they wrote."""
        before = len(self.lines())
        for _ in range(round(seconds * 20)):
            self.clock.shift(timedelta(milliseconds=50))
            self.assigner.assign()
        return self.lines()[before:]

    def lines(self):
        return self.log.named('task_passed_over')


@pytest.fixture
def rounds():
    return Rounds()


@pytest.fixture
def moved(rounds):
    """A moved task that waits, of lower priority, for which a worker is reserved."""
    first, second = rounds.worker('w1'), rounds.worker('w2')
    (task,) = rounds.submit('moved', queue=LATER)
    rounds.play(0.05)
    target = second if task.worker == first.worker_id else first
    rounds.reserve(task, target)
    rounds.interrupt(task)
    return task


def test_a_full_fleet_is_named_with_its_free_capacity(rounds):
    """Guards against a lasting task that waits without a line although much capacity
    is free in pieces that are too small."""
    rounds.worker('w1')
    rounds.worker('w2')
    rounds.submit('a', count=2)
    waiting = rounds.submit('b', count=2)
    assert not rounds.play(1)
    (line,) = rounds.play(0.5)
    assert line == {
        'job': 'b',
        'task': waiting[0].ref[1:],
        'queue': 'urgent',
        'waiting': 2,
        'waited_ms': line['waited_ms'],
        'reason': 'no worker has enough free capacity',
        'cpu_millicores': 3000,
        'candidates': 2,
        'fitting': 0,
        'free_millicores': 2000,
        'largest_free_millicores': 1000,
        'moving_millicores': 0,
    }
    assert 1000 < line['waited_ms'] < 1200


def test_a_task_behind_a_step_that_did_not_fit_is_named(rounds):
    """Guards against a task that no round looks at, without a line that says so."""
    rounds.worker('w1')
    rounds.submit('first', count=2)
    (behind,) = rounds.submit('behind', queue=LATER)
    line = next(line for line in rounds.play(1.2) if line['job'] == 'behind')
    assert line['task'] == behind.ref[1:]
    assert line['reason'] == 'an equal or smaller step did not fit in this round'
    assert line['largest_free_millicores'] == 1000


def test_a_reserved_task_behind_a_step_that_did_not_fit_is_claimed(rounds, moved):
    """Guards against a moved task whose reservation no round looks at."""
    target = moved.reserved_worker
    first = rounds.submit('first', count=2)
    rounds.play(0.05)
    assert moved.worker == target
    assert not all(task.worker for task in first)
    assert not [line for line in rounds.play(1.2) if line['job'] == 'moved']


def test_a_reserved_task_behind_another_of_its_step_is_claimed(rounds):
    """Guards against a round that ends at an earlier task of the step, which does not
    fit, before it looks at the reservation of a later one."""
    rounds.worker('w1')
    rounds.worker('w2')
    earlier, later = rounds.submit('a', count=2, queue=LATER)
    rounds.play(0.05)
    target = later.worker
    rounds.reserve(later, rounds.workers[target])
    rounds.interrupt(later)
    rounds.clock.shift(timedelta(milliseconds=10))
    rounds.interrupt(earlier)
    rounds.submit('first')
    (line,) = rounds.play(1.2)
    assert later.worker == target
    assert line['task'] == earlier.ref[1:]


def test_a_task_that_waits_for_its_reserved_worker_is_named(rounds, moved):
    """Guards against a wait for a reserved worker that looks like a full fleet."""
    target = rounds.workers[moved.reserved_worker]
    (occupant,) = rounds.submit('occupant')
    occupant.claim(target.worker_id)
    target.add(occupant)
    (line,) = rounds.play(1.2)
    assert line['reason'] == 'waits for its reserved worker'
    assert line['reserved_free_millicores'] == -2000
    rounds.play(1)
    assert moved.worker not in {None, target.worker_id}


@pytest.mark.parametrize(
    ('fields', 'live', 'reason'),
    [
        ({}, False, 'no worker accepts tasks'),
        ({'queue': QueuePolicy('q', 'pool', advised=True)}, True, 'no ticket'),
        (
            {'count': 2, 'gang': True, 'demand': Resources(1000, 1)},
            True,
            'members of the gang have not ended',
        ),
    ],
)
def test_other_reasons_are_named(rounds, fields, live, reason):
    """Guards against reasons that look like a full fleet."""
    worker = rounds.worker('w1')
    worker.live = live
    tasks = rounds.submit('a', **fields)
    if len(tasks) > 1:
        rounds.play(0.05)
        rounds.interrupt(tasks[0])
    (line,) = rounds.play(1.2)
    assert line['reason'] == reason
    assert line['candidates'] == int(live)


def test_a_step_is_named_at_most_once_a_second(rounds):
    """Guards against lines, and work for every worker, in each round."""
    rounds.worker('w1')
    rounds.submit('a', count=5)
    assert 4 <= len(rounds.play(5.2)) <= 5


def test_many_waiting_steps_share_the_lines(rounds):
    """Guards against a leader that delays lease renewals to log all waiting steps in
    one round, and against steps that never get a line."""
    rounds.worker('w1')
    steps = 60
    for number in range(steps + 1):
        rounds.submit(f'j{number}')
    rounds.play(1)
    for _ in range(20):
        assert len(rounds.play(0.05)) <= 1
    lines = rounds.play(5)
    assert len({line['job'] for line in lines}) == steps


def test_short_tasks_are_not_named(rounds):
    """Guards against a line for each of many waiting batch tasks."""
    rounds.worker('w1')
    rounds.submit('a', count=5, long_running=False)
    assert not rounds.play(3)


@pytest.mark.parametrize('cancelled', [True, False])
def test_the_state_of_a_step_that_no_longer_waits_is_dropped(rounds, cancelled):
    """Guards against state of ended jobs that stays for the whole term."""
    (running,) = rounds.submit('a')
    (waiting,) = rounds.submit('b')
    rounds.worker('w1')
    rounds.play(2)
    assert rounds.assigner._wait_log._due_at
    if cancelled:
        rounds.table.cancel((waiting if running.worker else running).step_run.job)
    else:
        rounds.worker('w2')
    rounds.play(0.05)
    assert not rounds.assigner._wait_log._due_at
