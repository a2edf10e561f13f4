"""Tests the order of accounts while tasks wait for capacity.

Replays an account that sends many times its usual load.
"""

from dataclasses import replace
from datetime import timedelta
from statistics import mean

import pytest

from chiveworks.accounts import AccountDirectory, FairShares
from chiveworks.base import Resources
from chiveworks.dispatch import _share_order
from chiveworks.dispatch.tests.account_deployment import CORE, AccountDeployment
from chiveworks.dispatch.tests.deployment import QUEUE, start_leader
from chiveworks.dispatch.tests.lasting_runner import add_lasting_worker
from chiveworks.workflow import StepSpec

#: Jobs of this queue are neither late nor expired during a test.
PATIENT = replace(QUEUE, latency_objective=timedelta(hours=1))
FLOOD = 60
WORKERS, CORES = 2, 4
SECOND = timedelta(seconds=1)


class _NoShares(FairShares):
    """Shares without effect: the order is that of urgency alone."""

    def __init__(self, capacity_millicores, demands):
        super().__init__(2**60, demands)


@pytest.fixture
async def deployment():
    created = AccountDeployment(WORKERS, CORES, SECOND)
    created.limit(0, name='flood')
    created.limit(0, name='regular')
    yield created
    await created.close()


def task(seconds=1, count=1):
    return StepSpec(count, CORE, timedelta(seconds=seconds))


async def waits(deployment):
    """Returns the mean waits in ms of the flood and of the other account's jobs."""
    await start_leader(deployment)
    for number in range(FLOOD):
        # Short declared durations come first in the order of urgency.
        spec = task(0.5)
        await deployment.submit(f'f{number}', spec, account='flood', queue=PATIENT)
        if number % 8 == 7:
            name = f'r{number}'
            await deployment.submit(name, task(), account='regular', queue=PATIENT)
    await deployment.wait(20)
    found = {'f': [], 'r': []}
    for line in deployment.log.named('task_claimed'):
        found[line['job'][0]].append(line['waited_ms'])
    assert [len(found['f']), len(found['r'])] == [FLOOD, FLOOD // 8]
    return mean(found['f']), mean(found['r'])


async def test_a_flood_of_one_account_does_not_delay_another(monkeypatch):
    """Guards against jobs of an account that wait behind the backlog of another one,
    which the order of urgency alone would serve first."""
    measured = {}
    for kind, shares in (('urgency', _NoShares), ('shares', FairShares)):
        monkeypatch.setattr(_share_order, 'FairShares', shares)
        created = AccountDeployment(WORKERS, CORES, SECOND)
        created.limit(0, name='flood')
        created.limit(0, name='regular')
        try:
            measured[kind] = await waits(created)
        finally:
            await created.close()
    assert measured['shares'][1] < 1000
    assert measured['shares'][1] < measured['urgency'][1] / 3
    # The flood loses no more than the others gain.
    assert measured['shares'][0] < measured['urgency'][0] + 1000


async def test_a_backlog_that_arrives_at_once_takes_its_share_first(deployment):
    """Guards against a wide step that takes all room before another account's step that
    arrived with it."""
    deployment.limit(0, name='flood', weight=3)
    deployment.accounts, accounts = None, deployment.accounts
    await deployment.submit('f', task(0.1, 40), account='flood', queue=PATIENT)
    await deployment.submit('r', task(9, 40), account='regular', queue=PATIENT)
    deployment.accounts = accounts
    await start_leader(deployment)
    await deployment.wait(0.2)
    assert deployment.running('flood') == 6000
    assert deployment.running('regular') == 2000


async def test_no_capacity_idles_for_a_share(deployment):
    """Guards against capacity that is kept for an account that does not use it."""
    await start_leader(deployment)
    await deployment.submit('f', task(1, 20), account='flood', queue=PATIENT)
    await deployment.submit('r', task(1, 1), account='regular', queue=PATIENT)
    await deployment.wait(0.3)
    assert deployment.running('flood') + deployment.running('regular') == 8000


async def test_with_room_for_all_the_order_is_that_of_urgency(deployment):
    """Guards against shares that change what nobody waits for."""
    await deployment.submit('f', task(1, 5), account='flood', queue=PATIENT)
    await deployment.submit('r', task(2, 3), account='regular', queue=PATIENT)
    await start_leader(deployment)
    await deployment.wait(0.2)
    claims = deployment.log.named('task_claimed')
    assert [line['job'] for line in claims] == ['f'] * 5 + ['r'] * 3


async def test_a_higher_priority_comes_before_a_share(deployment):
    """Guards against shares that reverse the priorities of queues."""
    later = replace(PATIENT, name='later', priority=1)
    await deployment.submit('f', task(1, 9), account='flood', queue=PATIENT)
    await deployment.submit('r', task(1, 9), account='regular', queue=later)
    await start_leader(deployment)
    await deployment.wait(0.2)
    assert deployment.running('flood') == 8000


async def test_jobs_without_an_account_come_with_those_below_their_share(deployment):
    """Guards against jobs of public routes that wait behind accounts which have
    claimed their shares."""
    await start_leader(deployment)
    await deployment.submit('f', task(0.1, 40), account='flood', queue=PATIENT)
    await deployment.submit('r', task(9, 40), account='regular', queue=PATIENT)
    await deployment.submit('none', task(5, 4), account='', queue=PATIENT)
    await deployment.wait(1.2)
    assert deployment.running('') == 4000


async def test_an_interrupted_lasting_task_comes_before_all_shares(deployment):
    """Guards against a lasting task that waits because its account has much running."""
    add_lasting_worker(deployment, 'w2', 4)
    await start_leader(deployment)
    spec = StepSpec(1, Resources(4000, 1), long_running=True)
    await deployment.submit('lasting', spec, account='flood', queue=PATIENT)
    await deployment.submit('f', task(1, 20), account='flood', queue=PATIENT)
    await deployment.submit('r', task(1, 60), account='regular', queue=PATIENT)
    (name,) = [
        name
        for name, runner in deployment.runners.items()
        if any(ref.job_id == 'lasting' for ref in runner.running)
    ]
    deployment.change_worker(name, draining=True, remaining=timedelta())
    await deployment.wait(0.4)
    before = len(deployment.log.named('task_claimed'))
    deployment.change_worker(name, draining=False, remaining=None)
    await deployment.wait(2.5)
    claims = deployment.log.named('task_claimed')[before:]
    restart = [line['job'] for line in claims].index('lasting')
    assert restart <= 8


async def test_without_weights_in_force_accounts_share_alike(deployment):
    """Guards against an error for accounts that the configuration no longer names."""
    deployment.accounts = AccountDirectory()
    deployment.limit(0, name='flood')
    await start_leader(deployment)
    await deployment.submit('f', task(0.1, 40), account='flood', queue=PATIENT)
    await deployment.submit('x', task(5, 3), account='unknown', queue=PATIENT)
    await deployment.wait(1.5)
    assert deployment.running('unknown') == 1000
