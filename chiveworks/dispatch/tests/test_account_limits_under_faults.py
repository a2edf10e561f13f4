"""Tests the limit of an account while workers and leaders fail at random."""

import random
from datetime import timedelta

import pytest

from chiveworks.base import Resources
from chiveworks.dispatch.tests.account_deployment import CORE, AccountDeployment
from chiveworks.dispatch.tests.deployment import start_leader
from chiveworks.workflow import JobState, StepSpec

LIMITS = (4000, 3000, 5000)
HIGHEST_LIMIT = max(LIMITS)
JOBS = {
    'single': StepSpec(12, CORE),
    'wide': StepSpec(3, Resources(2000, 1)),
    'gang': StepSpec(3, CORE, gang=True),
    'fill': StepSpec(6, CORE, fills=True, image='f'),
}
FAULTS = 12


def inject_fault(deployment, rng):
    runner = rng.choice(list(deployment.runners.values()))
    fault = rng.choice(('cut', 'heal', 'answers', 'stops', 'slow', 'limit'))
    if fault == 'cut':
        runner.reachable = False
    elif fault == 'answers':
        runner.drop_start_answers = 3
    elif fault == 'stops':
        runner.stop_duration = timedelta(seconds=1)
    elif fault == 'slow':
        runner.start_delay = timedelta(milliseconds=600)
    elif fault == 'limit':
        deployment.limit(rng.choice(LIMITS))
    else:
        runner.reachable = True


@pytest.mark.parametrize('seed', range(6))
async def test_no_failure_brings_an_account_above_its_limit(seed):
    """Guards against starts above the limit that only a combination of failures causes,
    and against counted runs that never end, so that jobs wait for ever."""
    rng = random.Random(seed)
    deployment = AccountDeployment(4, 4, timedelta(seconds=1.5))
    deployment.limit(HIGHEST_LIMIT)
    process = await start_leader(deployment)
    for name, step in JOBS.items():
        await deployment.submit(name, step)
    for number in range(FAULTS):
        inject_fault(deployment, rng)
        if rng.random() < 0.3:
            await deployment.kill(process)
            process = deployment.process(f'p{number}')
        await deployment.wait(rng.uniform(0.1, 1.5))
    for runner in deployment.runners.values():
        runner.reachable = True
        runner.start_delay = timedelta()
    await deployment.wait(35)
    states = {name: await deployment.state(name) for name in JOBS}
    counted = deployment.counted()
    await deployment.close()
    assert deployment.highest['a'] <= HIGHEST_LIMIT
    assert deployment.highest['a'] >= 3000
    assert set(states.values()) == {JobState.COMPLETED}
    assert counted == 0
