"""Tests the order in which waiting steps get workers."""

from datetime import timedelta

import pytest

from chiveworks.base import JobId, ManualClock, Resources
from chiveworks.dispatch._urgency import by_urgency
from chiveworks.workflow import Job, JobSpec, QueuePolicy, StepSpec, Submission

QUEUE = QueuePolicy('q', 'pool', latency_objective=timedelta(seconds=4))
LATER = QueuePolicy('later', 'pool', priority=1, latency_objective=timedelta(seconds=4))
CLOCK = ManualClock()
#: Ages of jobs that are still on time, late and expired.
ON_TIME, LATE, EXPIRED = 1, 10, 20
NOW = timedelta(seconds=100)


def step(name, age, *, lasting=False, waiting=None, cores=1, queue=QUEUE):
    """Returns a step of a job; `waiting` is how long an interrupted task has waited."""
    spec = StepSpec(
        1,
        Resources(1000 * cores, 1),
        timedelta(seconds=1),
        long_running=lasting,
    )
    submission = Submission(
        JobId(name), queue, JobSpec('', (spec,)), accepted_at=CLOCK.now()
    )
    job = Job(submission, NOW - timedelta(seconds=age))
    run = job.open_occurrence(0)[0]
    if waiting is not None:
        run.tasks[0].attempt = 1
        run.tasks[0].waiting_since = NOW - timedelta(seconds=waiting)
    return run


def order(*runs):
    return [run.job.job_id for run in by_urgency(runs, NOW)]


@pytest.mark.parametrize('age', [ON_TIME, LATE, EXPIRED])
def test_an_interrupted_lasting_step_comes_first_in_its_priority(age):
    """Guards against a lasting task that waits behind all new short tasks."""
    lasting = step('lasting', age, lasting=True, waiting=1, cores=8)
    short = step('short', ON_TIME)
    assert order(short, lasting) == ['lasting', 'short']


def test_a_higher_priority_comes_before_an_interrupted_step():
    """Guards against lasting tasks that delay work of a higher priority."""
    lasting = step('lasting', LATE, lasting=True, waiting=9, queue=LATER)
    assert order(lasting, step('short', EXPIRED)) == ['short', 'lasting']


def test_the_longest_wait_comes_first_among_interrupted_steps():
    """Guards against tasks of large jobs that wait behind all smaller ones."""
    large = step('large', LATE, lasting=True, waiting=9, cores=8)
    small = step('small', LATE, lasting=True, waiting=2)
    assert order(small, large) == ['large', 'small']


def test_a_lasting_step_does_not_expire():
    """Guards against lasting tasks that never start as long as others do."""
    lasting = step('lasting', EXPIRED, lasting=True)
    assert order(step('expired', EXPIRED), lasting) == ['lasting', 'expired']
    late = step('late', LATE, cores=4)
    assert order(late, lasting) == ['lasting', 'late']


def test_a_failed_short_task_keeps_the_rank_of_its_job():
    """Guards against short tasks that rank first because they have failed."""
    failed = step('failed', LATE, waiting=9)
    assert order(failed, step('new', ON_TIME)) == ['new', 'failed']
