"""Tests that no serving task moves for filling tasks that a limit keeps waiting."""

from datetime import timedelta

import pytest

from chiveworks.base import Resources
from chiveworks.dispatch.tests.account_deployment import AccountDeployment
from chiveworks.dispatch.tests.deployment import start_leader
from chiveworks.workflow import StepSpec

FILLERS = StepSpec(40, Resources(1000, 1), fills=True, image='f')


@pytest.fixture
async def deployment():
    created = AccountDeployment(duration=timedelta(seconds=60))
    yield created
    await created.close()


@pytest.mark.parametrize('limit', (2000, 0))
async def test_only_fillers_below_their_limit_cause_moves(deployment, limit):
    """Guards against interruptions of serving tasks for filling tasks that could not use
    the room, since their account has reached its limit; those that only lack room still
    cause moves."""
    deployment.limit(limit)
    await start_leader(deployment)
    await deployment.submit('fillers', FILLERS)
    await deployment.wait(1)
    scheduler = deployment.scheduler()
    assert scheduler.table.ready
    consolidator = scheduler._consolidator
    begun = []
    consolidator._begin_moves = begun.append
    await deployment.wait(1)
    assert bool(begun) is (limit == 0)
