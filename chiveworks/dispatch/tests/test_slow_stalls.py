"""Tests that runs which stand still at a reduced pace are found."""

from datetime import timedelta

import pytest

from chiveworks.base import JobId, Resources
from chiveworks.dispatch._stall_detector import STALL_TIMEOUT
from chiveworks.dispatch.tests.deployment import InMemoryDeployment, start_leader
from chiveworks.workflow import StepSpec

FILLER = StepSpec(1, Resources(1000, 1), fills=True, image='f')


@pytest.fixture
async def deployment():
    created = InMemoryDeployment()
    yield created
    await created.close()


@pytest.mark.parametrize('pace', (50, 0))
async def test_a_run_that_stands_still_at_a_reduced_pace_is_stopped(deployment, pace):
    """Guards against a filling task that stalls while it works at a reduced pace, which
    may last as long as the load of the serving tasks beside it; a paused one is left
    alone."""
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner.stall_runs = True
    await deployment.submit('j', FILLER)
    await deployment.wait(0.3)
    scheduler = deployment.leaders['a'].scheduler
    # The pace stays as if a serving task needed the rest.
    scheduler._guard._speed_up = lambda *_: None
    (task,) = scheduler.table.jobs[JobId('j')].tasks()
    scheduler.orders.set_pace(scheduler.fleet.workers[task.worker], task, pace)
    await deployment.wait(2 * STALL_TIMEOUT / timedelta(seconds=1) + 1)
    assert (task.attempt > 1) is (pace > 0)
