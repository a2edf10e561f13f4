"""Tests reservations on workers that leave before the reserved task has moved."""

from datetime import timedelta

import pytest

from chiveworks.base import JobId, Resources, WorkerId
from chiveworks.dispatch.tests.account_deployment import AccountDeployment
from chiveworks.dispatch.tests.deployment import start_leader
from chiveworks.workflow import StepSpec


@pytest.fixture
async def deployment():
    created = AccountDeployment(duration=timedelta(seconds=60))
    created.limit(4000)
    yield created
    await created.close()


async def test_a_reservation_ends_with_its_worker(deployment):
    """Guards against a task that counts towards the limit of its account for the rest
    of the term, since the worker with its reservation is not known any more."""
    await start_leader(deployment)
    await deployment.submit('j', StepSpec(1, Resources(1000, 1)))
    scheduler = deployment.scheduler()
    (task,) = scheduler.table.jobs[JobId('j')].tasks()
    (target,) = {'w0', 'w1'} - {task.worker}
    # As a move of a serving task by `Consolidator` does.
    scheduler.fleet.workers[WorkerId(target)].reserve(task)
    task.reserved_worker = WorkerId(target)
    deployment.store.remove(f'workers/{target}')
    await deployment.wait(3)
    assert list(scheduler.fleet.workers) == [task.worker]
    scheduler._assigner._placer.free_reservation(task)
    assert deployment.counted() == 1000
    await deployment.intake.cancel(JobId('j'))
    await deployment.wait(3)
    assert deployment.counted() == 0
