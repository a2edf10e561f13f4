"""Guards against measurements attributed to the wrong neighbours or task."""

from datetime import timedelta

import pytest

from chiveworks.base import (
    Attempt,
    BootId,
    Epoch,
    ManualClock,
    Resources,
    TaskId,
    TicketMs,
    WorkerId,
    ZoneName,
)
from chiveworks.instances import Instance, InstanceRole, InstanceState
from chiveworks.placement import InterferenceLearner, SizeEstimator, SizeLearner
from chiveworks.workers import ReportedState, TaskReport, UsageSample, WorkerReport

WORKER = Instance(
    instance_id='w0',
    role=InstanceRole.WORKER,
    zone=ZoneName('laita'),
    rack='',
    state=InstanceState.LIVE,
    capacity=Resources(16_000, 60 << 30),
)
KINDS = {TaskId('a/0'): 'bill', TaskId('b/0'): 'leak'}


def report_of(states, usage=()):
    return WorkerReport(
        WorkerId('w0'),
        BootId('b'),
        Epoch(1),
        TicketMs(1),
        0,
        tuple(
            TaskReport(TaskId(name), Attempt(1), state, Resources(1000))
            for name, state in states.items()
        ),
        tuple(usage),
    )


class RecordingEstimator:
    def __init__(self):
        self.samples = []

    def partial_fit(self, samples):
        self.samples.extend(samples)
        return self


def test_a_late_measurement_is_matched_with_the_neighbours_of_its_time():
    """Guards against blaming the tasks that run when the report arrives."""
    clock = ManualClock()
    estimator = RecordingEstimator()
    learner = InterferenceLearner(estimator, clock)
    running = ReportedState.RUNNING
    learner.observe(WORKER, report_of({'a/0': running, 'b/0': running}), KINDS)
    clock.shift(timedelta(seconds=4))
    learner.observe(WORKER, report_of({'a/0': running}), KINDS)
    clock.shift(timedelta(seconds=1))
    late = UsageSample(TaskId('a/0'), Resources(900), 2.0, age_ms=3000)
    learner.observe(WORKER, report_of({'a/0': running}, [late]), KINDS)
    (sample,) = estimator.samples
    assert sample.kind == 'bill'
    assert dict(sample.others) == {'leak': 1}


@pytest.mark.parametrize('known', [True, False])
def test_a_size_is_learned_from_ended_tasks_of_known_jobs_only(known):
    """Guards against sizes that are never learned, or learned from unknown tasks."""
    sizes = SizeEstimator(min_samples=1)
    learner = SizeLearner(sizes)
    kinds = KINDS if known else {}
    used = UsageSample(TaskId('a/0'), Resources(3000, 1 << 30), 1.0, age_ms=0)
    learner.observe(WORKER, report_of({'a/0': ReportedState.RUNNING}, [used]), kinds)
    learner.observe(WORKER, report_of({'a/0': ReportedState.FINISHED}), kinds)
    predicted = sizes.predict('bill', Resources(1000, 1 << 20))
    assert (predicted.cpu_millicores >= 3000) is known
