"""Tests that tasks beside one that crashes its workers are not given up."""

import pytest

from chiveworks.base import Resources
from chiveworks.dispatch.tests.crashing_workers import CORE, CrashingFleet
from chiveworks.workflow import JobState, StepSpec

#: Enough for a second start of each task of the tests by itself, and for the crashes.
LONG_ENOUGH = 45
#: One worker makes all tasks share each crash; with three, the tasks of a crashed worker
#: start again together on the other two.
WORKER_COUNTS = (1, 3)
LASTING = StepSpec(2, CORE, long_running=True)
#: Such a task needs a third of a worker.
LARGE_LASTING = StepSpec(1, Resources(4000, 1), long_running=True)


@pytest.fixture(params=[True, False], ids=['same-id', 'new-id'])
def keeps_id(request):
    return request.param


@pytest.fixture(params=WORKER_COUNTS)
async def fleet(request, keeps_id):
    created = CrashingFleet(request.param, cores=12, keeps_id=keeps_id)
    try:
        await created.start()
        yield created
    finally:
        await created.deployment.close()


async def _submit_innocent(fleet):
    """Submits lasting and short tasks that crash no worker."""
    await fleet.submit('lasting', LASTING)
    await fleet.submit('lasting-large', LARGE_LASTING)
    for number in range(3):
        await fleet.submit(f'short{number}', StepSpec(2, CORE))


async def _check_innocent(fleet):
    for number in range(3):
        assert await fleet.deployment.state(f'short{number}') is JobState.COMPLETED
    assert await fleet.deployment.state('lasting') is JobState.RUNNING
    assert await fleet.deployment.state('lasting-large') is JobState.RUNNING
    running = fleet.running()
    assert running['lasting'] == LASTING.count
    assert running['lasting-large'] == 1


async def test_a_task_that_only_shared_crashed_workers_is_not_given_up(fleet):
    """Guards against jobs that fail, or lasting tasks that do not run again, because
    their workers crashed under a task of another job."""
    await fleet.submit('deadly', deadly=[(0, 0)])
    await _submit_innocent(fleet)
    await fleet.deployment.wait(LONG_ENOUGH)
    assert fleet.crash_count
    await _check_innocent(fleet)


async def test_only_the_deadly_ones_of_a_job_s_tasks_count(fleet):
    """Guards against lost work of tasks that started in the same moment as a deadly task
    of their own job: the job fails because of that one, after few crashes."""
    await fleet.submit('mixed', StepSpec(6, CORE), deadly=[(0, 3)])
    await _submit_innocent(fleet)
    await fleet.deployment.wait(LONG_ENOUGH)
    await fleet.check_given_up('mixed')
    assert fleet.crash_count <= max(fleet.start_counts())
    await _check_innocent(fleet)


async def test_two_deadly_tasks_at_once_are_given_up_and_no_other(fleet):
    """Guards against two deadly tasks that hide behind each other's crashes, and against
    innocent tasks that share the crashes of both."""
    await fleet.submit('deadly0', deadly=[(0, 0)])
    await fleet.submit('deadly1', deadly=[(0, 0)])
    await _submit_innocent(fleet)
    await fleet.deployment.wait(LONG_ENOUGH)
    await fleet.check_given_up('deadly0', 'deadly1')
    await _check_innocent(fleet)


async def test_a_task_started_with_a_deadly_one_again_and_again_is_not_given_up(fleet):
    """Guards against a task that is blamed because it starts in the same moment and on
    the same worker as deadly ones: new deadly tasks arrive while it waits."""
    await _submit_innocent(fleet)
    for number in range(3):
        await fleet.submit(f'deadly{number}', deadly=[(0, 0)])
        await fleet.submit(f'beside{number}', StepSpec(3, CORE))
        await fleet.deployment.wait(3)
    await fleet.deployment.wait(LONG_ENOUGH)
    for number in range(3):
        beside = f'beside{number}'
        assert await fleet.deployment.state(beside) is JobState.COMPLETED
    await _check_innocent(fleet)
