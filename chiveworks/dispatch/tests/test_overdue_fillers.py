"""Tests filling tasks that have waited too long for a worker they would not disturb."""

import pytest

from chiveworks.base import JobId, Resources
from chiveworks.dispatch._interference_weight import InterferenceWeight
from chiveworks.dispatch.tests.deployment import GIGABYTE
from chiveworks.dispatch.tests.test_moved_tasks import FIRST, LAST, Fleet
from chiveworks.workflow import StepSpec

#: Time after which a filling task may disturb others, and some more.
OVERDUE = 3
#: Memory of which a worker has enough for one filling task only.
MEMORY = 30 * GIGABYTE


def filler(image, count=1):
    return StepSpec(count, Resources(1000, MEMORY), fills=True, image=image)


@pytest.fixture
async def disturbed():
    """One worker, whose serving task is disturbed by the image `loud`."""
    fleet = Fleet()
    await fleet.start(('w0', 'fast'))
    scheduler = fleet.deployment.leaders['a'].scheduler
    scheduler.model.weights_ = {
        'fast': {
            'loud': InterferenceWeight(7, 0.1),
            'calm': InterferenceWeight(1, 0.1),
        },
    }
    yield fleet
    await fleet.deployment.close()


def fillers(fleet):
    return [(ref.job_id, ref.position) for ref in fleet.running('w0') if ref[0] != JOB]


JOB = JobId('lasting-fast-w0')


async def test_an_overdue_task_does_not_wait_for_an_evicted_one_of_its_step(disturbed):
    """Guards against a task that is passed over as long as an earlier one of its step
    is evicted and waits for a worker that it would not disturb."""
    await disturbed.deployment.submit('lasting-a', filler('loud', 2), queue=LAST)
    await disturbed.deployment.wait(OVERDUE)
    assert fillers(disturbed) == [('lasting-a', 0)]
    scheduler = disturbed.deployment.leaders['a'].scheduler
    scheduler.orders.stop(disturbed.task('lasting-a'), 'evicted')
    await disturbed.deployment.wait(0.3)
    assert fillers(disturbed) == [('lasting-a', 1)]


async def test_an_overdue_task_does_not_wait_for_a_new_one_of_its_image(disturbed):
    """Guards against a task that is skipped because a newer one of its image, which
    may still wait for another worker, was not placed in the same round."""
    await disturbed.deployment.submit('lasting-calm', filler('calm'), queue=FIRST)
    await disturbed.deployment.submit('lasting-old', filler('loud'), queue=LAST)
    await disturbed.deployment.wait(OVERDUE)
    assert fillers(disturbed) == [('lasting-calm', 0)]
    await disturbed.deployment.submit('lasting-new', filler('loud'), queue=FIRST)
    await disturbed.deployment.intake.cancel(JobId('lasting-calm'))
    await disturbed.deployment.wait(0.3)
    assert fillers(disturbed) == [('lasting-old', 0)]
