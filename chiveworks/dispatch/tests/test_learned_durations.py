"""Replays more work than the workers can do, with declared durations that are wrong."""

import heapq
import itertools
import math
import random
from datetime import timedelta

import pytest

from chiveworks.base import JobId, ManualClock, Resources
from chiveworks.dispatch._duration_model import DurationModel
from chiveworks.dispatch._urgency import by_urgency
from chiveworks.workflow import (
    Job,
    JobSpec,
    QueuePolicy,
    StepDuration,
    StepSpec,
    Submission,
)

QUEUE = QueuePolicy(
    'settle', 'pool', stretch=2.0, latency_objective=timedelta(seconds=1)
)
SLOTS = 120
JOBS = 400
SECOND = timedelta(seconds=1)


def offered_load(seed, rate_per_s, off):
    """Yields arrival, step and real durations of jobs with one step of 20 tasks.

    Real durations are spread by 0.5 around 1.9 s, one task in 33 takes seven times as
    long, and declared durations are wrong by `off` (standard deviations of logarithms).
    """
    source = random.Random(seed)
    arrival = 0.0
    for _job in range(JOBS):
        arrival += source.expovariate(rate_per_s)
        typical = 1.9 * math.exp(source.gauss(0, 0.5))
        count = min(max(round(20 * math.exp(source.gauss(0, 0.6))), 1), 80)
        real = [
            typical
            * math.exp(source.gauss(0, 0.3))
            * (7 if source.random() < 0.03 else 1)
            for _task in range(count)
        ]
        declared = typical * math.exp(source.gauss(0, off))
        yield arrival, StepSpec(count, Resources(3500, 1), declared * SECOND), real


class Replay:
    """Runs jobs on equal slots in the order that the scheduler would choose."""

    def __init__(self, model, order):
        self.model = model
        self.order = order
        self.free = SLOTS
        self.ready = {}
        self.real = {}
        self.limits = {}
        self.events = []
        self.numbers = itertools.count()
        self.in_time = 0

    def run(self, load):
        for arrival, step, real in load:
            heapq.heappush(self.events, (arrival, next(self.numbers), (step, real)))
        while self.events:
            now, number, event = heapq.heappop(self.events)
            if number < JOBS:
                self.arrive(number, now, *event)
            else:
                self.finish(now, *event)
            self.start(now)
        return self.in_time / JOBS

    def arrive(self, number, now, step, real):
        spec = JobSpec('', (step,))
        submission = Submission(
            JobId(str(number)), QUEUE, spec, accepted_at=ManualClock().now()
        )
        job = Job(submission, now * SECOND)
        if self.model:
            job.expect([self.model.predict(QUEUE.name, step)])
        run = job.open_occurrence(0)[0]
        self.ready[run] = None
        self.real[run] = list(real)
        # The allowed duration follows the longest chain of real work.
        self.limits[run] = now + 2 * max(real) + 1

    def start(self, now):
        if not self.free:
            return
        for run in self.order(self.ready, now * SECOND):
            waiting = run.waiting()
            for task in waiting[: self.free]:
                task.claim('worker')
                duration = self.real[run][task.ref.position]
                entry = (run, task, duration)
                heapq.heappush(self.events, (now + duration, next(self.numbers), entry))
                self.free -= 1
            if not run.waiting():
                self.ready.pop(run)
            if not self.free:
                return

    def finish(self, now, run, task, duration):
        self.free += 1
        run.job.finish(task)
        if self.model:
            run.job.observe_longest(0, duration * SECOND)
        if run.done:
            self.in_time += now <= self.limits[run]
            if self.model:
                real = self.real[run]
                observed = StepDuration(
                    sum(real) / len(real) * SECOND, max(real) * SECOND
                )
                self.model.partial_fit(QUEUE.name, run.spec, observed)


def by_arrival(ready, _now):
    return list(ready)


def shares_in_time(rate_per_s, *, off=0.9):
    """Returns the shares of jobs that end in time by arrival, declared and learned."""
    loads = [list(offered_load(seed, rate_per_s, off)) for seed in range(1, 4)]
    return [
        sum(Replay(model(), order).run(load) for load in loads) / len(loads)
        for model, order in (
            (lambda: None, by_arrival),
            (lambda: None, by_urgency),
            (DurationModel, by_urgency),
        )
    ]


@pytest.mark.parametrize('rate_per_s', [1.5, 2.4, 4.0])
def test_more_jobs_end_in_time_if_durations_are_learned(rate_per_s):
    """Guards against jobs that are put back as late although they could end in time."""
    arrival, declared, learned = shares_in_time(rate_per_s)
    assert learned > declared > arrival


def test_learning_costs_nothing_if_the_declared_durations_are_right():
    """Guards against a model that makes good declarations worse."""
    _arrival, declared, learned = shares_in_time(2.4, off=0)
    assert learned >= declared - 0.01


def test_without_samples_the_declared_duration_counts():
    """Guards against orders that change before anything has been learned."""
    step = StepSpec(20, Resources(1000, 1), 2 * SECOND)
    assert DurationModel().predict('q', step) == StepDuration(2 * SECOND, 2 * SECOND)


def test_a_queue_learns_from_its_own_steps_only():
    """Guards against durations of one kind of work that are applied to another."""
    step = StepSpec(20, Resources(1000, 1), 2 * SECOND)
    model = DurationModel()
    for _step in range(20):
        model.partial_fit('slow', step, StepDuration(6 * SECOND, 9 * SECOND))
    slow = model.predict('slow', step)
    assert 5 * SECOND < slow.typical < 7 * SECOND < slow.longest
    assert model.predict('other', step).longest == 2 * SECOND


def test_lasting_steps_keep_their_declared_duration():
    """Guards against deadlines of lasting jobs that follow how long they have run."""
    step = StepSpec(2, Resources(1000, 1), SECOND, long_running=True)
    model = DurationModel()
    model.partial_fit('q', step, StepDuration(60 * SECOND, 90 * SECOND))
    assert model.predict('q', step).longest == SECOND


def test_a_long_task_gives_its_job_more_time():
    """Guards against a job that counts as expired while its longest task runs."""
    step = StepSpec(2, Resources(1000, 1), SECOND)
    spec = JobSpec('', (step,))
    job = Job(Submission(JobId('j'), QUEUE, spec), timedelta())
    assert job.deadline == 3 * SECOND
    job.observe_longest(0, 7 * SECOND)
    assert job.deadline == 15 * SECOND
    job.observe_longest(0, 2 * SECOND)
    assert job.deadline == 15 * SECOND


def test_work_is_counted_without_pauses_and_over_checkpoints():
    """Guards against pauses and moves that are learned as work."""
    step = StepSpec(1, Resources(1000, 1), SECOND, checkpointed=True)
    spec = JobSpec('', (step,))
    job = Job(Submission(JobId('j'), QUEUE, spec), timedelta())
    (task,) = job.open_occurrence(0)[0].tasks
    task.claim('first')
    task.started_at = 10 * SECOND
    task.count_work(12 * SECOND)
    task.pace_percent = 0
    task.count_work(20 * SECOND)
    task.pace_percent = 50
    task.count_work(22 * SECOND)
    assert task.worked == 3 * SECOND
    task.checkpoint = 'saved'
    task.claim('second')
    task.started_at = 30 * SECOND
    task.count_work(31 * SECOND)
    assert task.worked == 4 * SECOND
    task.checkpoint = ''
    task.claim('third')
    assert not task.worked
