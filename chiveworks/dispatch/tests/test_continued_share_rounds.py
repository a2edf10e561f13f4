"""Tests rounds of assignment that are continued while shares hold steps back."""

from datetime import timedelta

import pytest

from chiveworks.base import Resources
from chiveworks.dispatch.tests.account_deployment import AccountDeployment
from chiveworks.dispatch.tests.deployment import start_leader
from chiveworks.dispatch.tests.test_fair_shares import PATIENT
from chiveworks.dispatch.tests.test_overloaded_scheduler import LATER_QUEUE, make_slow
from chiveworks.workflow import StepSpec

WIDE = Resources(3000, 1)


@pytest.fixture
async def deployment():
    created = AccountDeployment(duration=timedelta(seconds=60))
    for name in 'ab':
        created.limit(0, name=name)
    yield created
    await created.close()


async def test_steps_held_back_by_a_share_let_a_round_go_on(deployment):
    """Guards against steps that are tried first again in each continuation of a round,
    so that the steps after them never have a turn: eight wide steps of an account below
    its share do not fit, each of which takes time to try, and one that fits comes last.
    """
    await start_leader(deployment)
    for number in range(2):
        await deployment.submit(f'busy{number}', StepSpec(1, WIDE), account='b')
    make_slow(deployment)
    for number in range(8):
        # The limit keeps the steps from being passed over as equal to one that did not
        # fit.
        spec = StepSpec(9, WIDE, worker_limit=1)
        await deployment.submit(f'waits{number}', spec, account='a', queue=PATIENT)
    await deployment.submit(
        'fits', StepSpec(1, Resources(1000, 1)), account='b', queue=LATER_QUEUE
    )
    await deployment.wait(4)
    assert 'fits' in [ref.job_id for ref in deployment.starts()]
