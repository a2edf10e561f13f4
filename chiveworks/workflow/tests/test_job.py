"""Times of a job that follow from its declared durations."""

from datetime import timedelta

from chiveworks.base import JobId, RackName, Resources
from chiveworks.workflow import Job, JobSpec, QueuePolicy, StepSpec, Submission


def step(length, **fields):
    return StepSpec(1, Resources(1, 1), timedelta(seconds=length), **fields)


def test_the_latest_start_leaves_time_for_remote_runs_of_all_later_steps():
    """Guards against waits that cost the deadline since later steps run remotely too."""
    steps = (
        step(2, data_rack=RackName('a')),
        step(10),
        step(4, tightly_coupled=True, after=(0,)),
        step(1, after=(2,)),
    )
    queue = QueuePolicy('q', 'pool', stretch=3)
    job = Job(Submission(JobId('job'), queue, JobSpec('', steps)), timedelta(seconds=5))
    # The critical path of 10 s is stretched to 30 s, from 5 s on.
    starts = [job.latest_start(number, 1.5).total_seconds() for number in range(4)]
    assert starts == [35 - 3 - 6 - 1, 35 - 10, 35 - 6 - 1, 35 - 1]
    assert job.latest_start(0, 1) == timedelta(seconds=35 - 2 - 4 - 1)
