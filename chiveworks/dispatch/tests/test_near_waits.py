"""Waits for workers near the data or the group of a task, in rounds without a network."""

from datetime import timedelta

import pytest

from chiveworks.base import JobId, ManualClock, RackName, Resources, WorkerId, ZoneName
from chiveworks.dispatch import WorkerInfo
from chiveworks.dispatch._account_gate import AccountGate, no_accounts
from chiveworks.dispatch._advice import TicketCache
from chiveworks.dispatch._assigner import Assigner
from chiveworks.dispatch._health import WorkerHealth
from chiveworks.dispatch._interference_model import InterferenceModel
from chiveworks.dispatch._job_table import JobTable
from chiveworks.dispatch._placer import Placer
from chiveworks.dispatch._progress_writer import ProgressWriter
from chiveworks.dispatch._worker_lease import WorkerLease
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.dispatch.tests.deployment import RecordingLog, SingleWorkerAdvisor
from chiveworks.workflow import JobSpec, QueuePolicy, StepSpec, Submission, TaskState

GIGABYTE = 1024**3
WHOLE = Resources(4000, GIGABYTE)
QUEUE = QueuePolicy('urgent', 'pool', stretch=20)
FIRST = QueuePolicy('first', 'pool', priority=-1, stretch=20)
ROUND = timedelta(milliseconds=50)


def seconds(amount):
    return timedelta(seconds=amount)


class Rounds:
    """Workers of 4 cores in racks, and an assigner whose rounds the test starts."""

    def __init__(self, factor=1.5):
        self.clock = ManualClock()
        self.clock.shift(seconds(60))
        self.log = RecordingLog(self.clock)
        self.workers = {}
        self.table = JobTable(
            self.clock,
            self.log,
            ProgressWriter(None, self.clock, lambda _job: None),
            lambda _task, _reason: None,
            timedelta(),
        )
        self.health = WorkerHealth(self.clock, self.log, factor)
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
            self.health.lateness,
        )

    def rack(self, rack, count):
        return [self.worker(f'{rack}{number}', rack) for number in range(count)]

    def worker(self, name, rack):
        capacity = Resources(4000, 64 * GIGABYTE)
        info = WorkerInfo(
            *(WorkerId(name), 'pool', name, ZoneName('z'), False, capacity),
            rack=RackName(rack),
        )
        now = self.clock.monotonic()
        worker = WorkerView(info, None, WorkerLease(seconds(600), now))
        worker.live = True
        worker.lease.observe_clock(timedelta(), now)
        self.workers[worker.worker_id] = worker
        return worker

    def submit(self, name, *, queue=QUEUE, count=1, demand=WHOLE, length=2, **fields):
        """Adds a job of one step; returns its tasks."""
        step = StepSpec(count, demand, seconds(length), **fields)
        job = self.table.add(
            Submission(
                JobId(name), queue, JobSpec('', (step,)), accepted_at=self.clock.now()
            )
        )
        return job.occurrences[0][0].tasks

    def occupy(self, worker, *, started=0, **fields):
        """Starts a run on a worker, `started` seconds ago."""
        (task,) = self.submit(f'busy-{worker.worker_id}', **fields)
        task.claim(worker.worker_id)
        task.claim_version = 1
        task.state = TaskState.RUNNING
        task.started_at = self.clock.monotonic() - seconds(started)
        worker.add(task)
        self.table.ready.pop(task.step_run)
        return task

    def end(self, task):
        self.workers[task.worker].remove(task)
        task.state = TaskState.DONE

    def play(self, duration=0):
        """Plays a round now and then one every 50 ms."""
        self.assigner.assign()
        for _ in range(round(duration * 20)):
            self.clock.shift(ROUND)
            self.assigner.assign()

    def placed(self, tasks):
        """Returns the racks of tasks; empty for those that wait."""
        return [
            self.workers[task.worker].info.rack if task.worker else '' for task in tasks
        ]

    def outcomes(self, event):
        return [fields['outcome'] for fields in self.log.named(event)]

    def claim(self, task):
        (fields,) = (
            fields
            for fields in self.log.named('task_claimed')
            if fields['job'] == task.ref.job_id and fields['task'] == task.ref[1:]
        )
        return fields


@pytest.fixture
def rounds():
    return Rounds()


def test_a_task_waits_for_its_rack_if_a_run_there_ends_in_time(rounds):
    """Guards against a wait that ends after 1 s however much it gains."""
    (near,), _ = rounds.rack('a', 1), rounds.rack('b', 1)
    busy = rounds.occupy(near, started=0.6)
    (task,) = rounds.submit('job', length=6, data_rack='a')
    rounds.play(1.3)
    assert rounds.placed([task]) == ['']
    rounds.end(busy)
    rounds.play()
    assert rounds.placed([task]) == ['a']
    assert rounds.outcomes('data_wait') == ['started', 'paid_off']
    claim = rounds.claim(task)
    assert claim['near'] and claim['near_wait_ms'] == 1300
    assert claim['near_reason'] == 'a near worker had room'


@pytest.mark.parametrize(
    ('length', 'fields', 'reason'),
    [
        (0.64, {}, 'near workers are expected to have room too late'),
        (2, {'long_running': True}, 'no near worker will have room'),
    ],
)
def test_a_task_starts_elsewhere_at_once_if_no_wait_pays_off(
    rounds, length, fields, reason
):
    """Guards against waits of 1 s of a task that gains 0.32 s, and against waits for
    the room of lasting tasks."""
    (near,), _ = rounds.rack('a', 1), rounds.rack('b', 1)
    rounds.occupy(near, **fields)
    (task,) = rounds.submit('job', length=length, data_rack='a')
    rounds.play()
    assert rounds.placed([task]) == ['b']
    assert rounds.claim(task)['near_reason'] == reason
    assert not rounds.log.named('data_wait')


def test_free_room_near_the_data_is_taken_at_once(rounds):
    """Guards against a task that waits although it could start near its data."""
    rounds.rack('b', 3)
    rounds.rack('a', 1)
    (task,) = rounds.submit('job', data_rack='a')
    rounds.play()
    assert rounds.placed([task]) == ['a']


def test_a_wait_for_an_overdue_run_is_abandoned_within_its_gain(rounds):
    """Guards against waits that go on while the expected room fails to appear."""
    (near,), _ = rounds.rack('a', 1), rounds.rack('b', 1)
    rounds.occupy(near, started=1.8)
    (task,) = rounds.submit('job', length=2, data_rack='a')
    rounds.play(1)
    assert rounds.placed([task]) == ['b']
    assert rounds.outcomes('data_wait') == ['started', 'abandoned']
    assert 0 < rounds.claim(task)['near_wait_ms'] <= 1000


@pytest.mark.parametrize('lost', ['draining', 'live'])
def test_a_rack_without_a_usable_worker_is_not_waited_for(rounds, lost):
    """Guards against waits for a worker that will get no work."""
    (near,), _ = rounds.rack('a', 1), rounds.rack('b', 1)
    rounds.occupy(near, started=1.9)
    (task,) = rounds.submit('job', length=6, data_rack='a')
    if lost == 'live':
        near.live = False
    else:
        near.quarantined_until = rounds.clock.monotonic() + seconds(2)
    rounds.play()
    assert rounds.placed([task]) == ['b']


def test_a_wide_step_is_split(rounds):
    """Guards against a wide step that waits as a whole for a rack which could run only
    a part of it in time."""
    near, _ = rounds.rack('a', 3), rounds.rack('b', 8)
    rounds.occupy(near[0], started=1.6)
    rounds.occupy(near[1], started=0, length=30)
    tasks = rounds.submit('job', count=6, data_rack='a')
    rounds.play()
    assert sorted(rounds.placed(tasks)) == ['', 'a', 'b', 'b', 'b', 'b']


def test_waits_for_a_hot_rack_are_bounded_by_what_it_can_run(rounds):
    """Guards against a pile-up of jobs that wait for the same few workers."""
    near, _ = rounds.rack('a', 2), rounds.rack('b', 40)
    for number, worker in enumerate(near):
        rounds.occupy(worker, started=1.6 + number * 0.2)
    jobs = [rounds.submit(f'job{n}', data_rack='a')[0] for n in range(30)]
    rounds.play()
    racks = rounds.placed(jobs)
    assert racks.count('') == 2 and racks.count('b') == 28


def test_tasks_ahead_are_counted_even_if_they_find_no_room_at_all(rounds):
    """Guards against a task that waits for room which a more urgent one will take."""
    (near,), (other,) = rounds.rack('a', 1), rounds.rack('b', 1)
    rounds.occupy(near, started=1.6)
    rounds.occupy(other, started=0, demand=Resources(2000, 1), long_running=True)
    (ahead,) = rounds.submit('ahead', queue=FIRST, data_rack='a')
    (behind,) = rounds.submit('behind', demand=Resources(2000, 1), data_rack='a')
    rounds.play()
    assert rounds.placed([ahead, behind]) == ['', 'b']


def test_a_wait_ends_in_time_for_the_deadline(rounds):
    """Guards against a job that is late only because it has waited for its rack."""
    (near,), _ = rounds.rack('a', 1), rounds.rack('b', 1)
    rounds.occupy(near, started=1.6)
    # Of 3.2 s from now, a remote run takes 3 s.
    tight = QueuePolicy('tight', 'pool', stretch=1.6)
    (task,) = rounds.submit('job', queue=tight, data_rack='a')
    rounds.play()
    assert rounds.placed([task]) == ['b']
    assert rounds.claim(task)['near_reason'] == 'a wait could cost the deadline'


def test_a_late_worker_is_not_waited_for(rounds):
    """Guards against waits for a worker on which all runs take longer than declared."""
    (near,), _ = rounds.rack('a', 1), rounds.rack('b', 1)
    for _ in range(8):
        run = rounds.occupy(near, started=6)
        rounds.health.record_done(near, run, current=True)
        rounds.end(run)
        rounds.table.jobs.clear()
    rounds.occupy(near, started=1.6)
    (task,) = rounds.submit('job', data_rack='a')
    rounds.play()
    assert rounds.placed([task]) == ['b']


def test_the_speed_of_an_adopted_run_is_not_known_from_its_progress(rounds):
    """Guards against a new leader that takes all reported progress for that of the time
    since it took over, and so expects runs to end at once."""
    (near,), _ = rounds.rack('a', 1), rounds.rack('b', 1)
    adopted = rounds.occupy(near, started=0.2, length=10)
    adopted.claim_version = 0
    adopted.progress_percent = 90
    adopted.progressed_at = rounds.clock.monotonic()
    (task,) = rounds.submit('job', length=1, data_rack='a')
    rounds.play()
    assert rounds.placed([task]) == ['b']


@pytest.mark.parametrize(('waited', 'later'), [(0, 1), (0.96, 0)])
def test_an_interrupted_lasting_task_waits_for_its_rack_for_a_second_at_most(
    rounds, waited, later
):
    """Guards against a lasting task without a run although there is room."""
    (near,), _ = rounds.rack('a', 1), rounds.rack('b', 1)
    rounds.occupy(near, started=1.5)
    (task,) = rounds.submit('job', length=60, data_rack='a', long_running=True)
    task.attempt = 1
    task.waiting_since -= seconds(waited)
    rounds.play()
    assert rounds.placed([task]) == ['' if later else 'b']
    rounds.play(later)
    assert rounds.placed([task]) == ['b']


def test_no_task_waits_without_a_remote_factor():
    """Guards against waits on deployments on which a remote run is no slower."""
    rounds = Rounds(factor=1)
    (near,), _ = rounds.rack('a', 1), rounds.rack('b', 1)
    rounds.occupy(near, started=1.9)
    (task,) = rounds.submit('job', data_rack='a')
    rounds.play()
    assert rounds.placed([task]) == ['b']


def test_a_cancelled_wait_ends(rounds):
    """Guards against waits of ended jobs that are kept for the rest of the term."""
    (near,), _ = rounds.rack('a', 1), rounds.rack('b', 1)
    rounds.occupy(near, started=1.6)
    (task,) = rounds.submit('job', data_rack='a')
    rounds.play()
    rounds.table.cancel(task.step_run.job)
    rounds.play()
    assert rounds.outcomes('data_wait') == ['started', 'ended']


@pytest.mark.parametrize('gang', [True, False])
def test_a_tightly_coupled_step_waits_for_one_rack(rounds, gang):
    """Guards against a group that is spread over racks just before one has room, and
    against a part of a gang that starts alone."""
    near, _ = rounds.rack('a', 3), rounds.rack('b', 2)
    busy = rounds.occupy(near[0], started=1.6)
    tasks = rounds.submit('job', count=3, tightly_coupled=True, gang=gang)
    rounds.play(0.3)
    assert rounds.placed(tasks) == (['', '', ''] if gang else ['a', 'a', ''])
    rounds.end(busy)
    rounds.play()
    assert rounds.placed(tasks) == ['a', 'a', 'a']
    assert [task.attempt for task in tasks] == [1, 1, 1]
    assert rounds.outcomes('group_wait') == ['started', 'paid_off']
    assert rounds.claim(tasks[2])['near']


@pytest.mark.parametrize('gang', [True, False])
def test_a_group_is_spread_if_no_rack_has_room_in_time(rounds, gang):
    """Guards against a group that waits for longer than it gains on one rack."""
    near, _ = rounds.rack('a', 3), rounds.rack('b', 2)
    rounds.occupy(near[0], length=9)
    tasks = rounds.submit('job', count=3, tightly_coupled=True, gang=gang)
    rounds.play()
    assert set(rounds.placed(tasks)) == {'a', 'b'}
    claim = rounds.claim(tasks[0])
    assert not claim['near']
    assert claim['near_reason'] == 'no near worker will have room'


def test_a_group_gives_up_its_wait_within_its_gain(rounds):
    """Guards against a gang that never starts while a run of its rack never ends."""
    near, _ = rounds.rack('a', 3), rounds.rack('b', 2)
    rounds.occupy(near[0], started=1.7)
    tasks = rounds.submit('job', count=3, tightly_coupled=True, gang=True)
    rounds.play(1)
    assert set(rounds.placed(tasks)) == {'a', 'b'}
    assert rounds.outcomes('group_wait') == ['started', 'abandoned']


def test_tasks_of_a_group_join_the_rack_of_the_others(rounds):
    """Guards against a restarted task that slows its group down from another rack."""
    rounds.rack('a', 2)
    rounds.rack('b', 4)
    tasks = rounds.submit('job', count=2, tightly_coupled=True)
    rounds.play()
    rack = rounds.placed(tasks)[0]
    assert rounds.placed(tasks) == [rack, rack]
    rounds.workers[tasks[0].worker].remove(tasks[0])
    rounds.table.requeue(tasks[0])
    rounds.play()
    assert rounds.placed(tasks) == [rack, rack]


def test_a_group_that_waits_for_a_rack_holds_up_no_other_step(rounds):
    """Guards against steps that are skipped since a step of equal size waits, although
    there is room for both."""
    near, _ = rounds.rack('a', 3), rounds.rack('b', 2)
    rounds.occupy(near[0], started=1.6)
    gang = rounds.submit('gang', queue=FIRST, count=3, tightly_coupled=True, gang=True)
    (other,) = rounds.submit('other')
    rounds.play()
    assert rounds.placed(gang) == ['', '', '']
    assert rounds.placed([other]) != ['']


@pytest.mark.parametrize('coupled', [False, True])
def test_a_long_task_waits_for_two_seconds_at_most(coupled):
    """Guards against a job without a running task for 3 s while other racks are idle, as
    a remote run of its long tasks would cost it even more time."""
    rounds = Rounds(factor=3)
    (near,) = rounds.rack('near', 1)
    if coupled:
        rounds.occupy(near, length=8, started=7)
        for number in range(2):
            rounds.rack(f'far{number}', 1)
        tasks = rounds.submit('long', count=2, length=10, tightly_coupled=True)
    else:
        rounds.occupy(near, length=8, started=7)
        rounds.rack('far', 1)
        tasks = rounds.submit('long', length=10, data_rack=RackName('near'))
    rounds.play(2.1)
    assert all(rounds.placed(tasks))
