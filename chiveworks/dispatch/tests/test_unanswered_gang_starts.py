"""Tests gangs of which one member is done while the start of another has no answer."""

from datetime import timedelta

import pytest

from chiveworks.base import Resources
from chiveworks.dispatch.tests.account_deployment import AccountDeployment
from chiveworks.dispatch.tests.deployment import start_leader
from chiveworks.workflow import JobState, StepSpec

#: Two members fit on no worker together.
GANG = StepSpec(2, Resources(3000, 1), gang=True)


@pytest.fixture
async def deployment():
    created = AccountDeployment(duration=timedelta(milliseconds=100))
    created.limit(0)
    yield created
    await created.close()


@pytest.mark.parametrize('account', ('', 'a'))
async def test_a_lost_start_of_a_done_gang_does_not_keep_its_worker(
    deployment, account
):
    """Guards against a job that is never shown as completed, and against claims that
    are never freed, after the start of a member was lost and another one is done."""
    deployment.runners['w1'].lose_starts = True
    await start_leader(deployment)
    await deployment.submit('gang', GANG, account=account)
    await deployment.wait(10)
    assert len(deployment.starts()) == 1
    workers = deployment.scheduler().fleet.workers.values()
    assert not any(worker.tasks for worker in workers)
    assert deployment.counted() == 0
    assert await deployment.state('gang') is JobState.COMPLETED
