"""Tests workers in whose place another worker responds while their entries remain."""

from datetime import timedelta

import pytest

from chiveworks.base import JobId
from chiveworks.dispatch.tests.crashing_workers import CORE, CrashingFleet
from chiveworks.workflow import JobState, StepSpec

#: Cores of a worker; a task uses one.
CORES = 4
#: Time for which the entry of a worker that is gone remains, in heartbeats of 1.5 s.
LISTED_S = 4.5


@pytest.fixture
async def fleet():
    created = CrashingFleet(workers=3, cores=CORES)
    try:
        await created.start()
        yield created
    finally:
        await created.deployment.close()


def _replace(fleet, name):
    """Ends a worker, without a silence, and starts another one at its address."""
    runner = fleet.deployment.runners[name]
    runner.lose_runs()
    runner.reachable = True
    runner.replaced = True
    fleet.add_worker()


def _claims_for(fleet, name):
    claims = fleet.deployment.log.named('task_claimed')
    return [claim for claim in claims if claim['worker'] == name]


async def test_a_replaced_worker_gets_no_claims(fleet):
    """Guards against tasks that are claimed again and again for a worker that is gone
    until its entry expires."""
    _replace(fleet, 'w0')
    await fleet.deployment.wait(1)
    for number in range(20):
        await fleet.submit(f'j{number}', StepSpec(4, CORE))
        await fleet.deployment.wait(0.2)
    assert not _claims_for(fleet, 'w0')
    await fleet.deployment.wait(10)
    for number in range(20):
        assert await fleet.deployment.state(f'j{number}') is JobState.COMPLETED


async def test_a_refused_start_shows_that_a_worker_is_replaced(fleet):
    """Guards against further claims for a worker that is gone while an earlier poll of it
    still waits."""
    await fleet.deployment.wait(0.1)
    _replace(fleet, 'w0')
    # The start of the first job is refused before the waiting poll ends.
    await fleet.submit('first', StepSpec(3 * CORES, CORE))
    claims = len(_claims_for(fleet, 'w0'))
    assert 0 < claims <= CORES
    for number in range(10):
        await fleet.submit(f'j{number}', StepSpec(1, CORE))
    assert len(_claims_for(fleet, 'w0')) == claims


async def test_tasks_that_never_ran_on_a_replaced_worker_are_no_suspects(fleet):
    """Guards against tasks that count as having crashed workers, and start one at a time
    or fail their jobs, because they were claimed for workers that were gone."""
    for round_number in range(4):
        name = f'w{round_number}'
        for runner in fleet.deployment.runners.values():
            runner.start_delay = timedelta(milliseconds=150)
        _replace(fleet, name)
        for number in range(8):
            await fleet.submit(f'j{round_number}-{number}', StepSpec(4, CORE))
        await fleet.deployment.wait(LISTED_S)
        fleet.deployment.store.remove(f'workers/{name}')
    await fleet.deployment.wait(10)
    crashes = fleet.deployment.log.named('worker_crashed')
    assert not [crash for crash in crashes if crash['suspects']]
    states = [
        await fleet.deployment.state(JobId(f'j{round_number}-{number}'))
        for round_number in range(4)
        for number in range(8)
    ]
    assert set(states) == {JobState.COMPLETED}


async def test_a_worker_that_responds_again_under_its_id_gets_work(fleet):
    """Guards against a worker that gets no work for the rest of a term because another
    worker once responded at its address."""
    _replace(fleet, 'w0')
    await fleet.deployment.wait(2)
    runner = fleet.deployment.runners['w0']
    runner.replaced = False
    runner.born_ms += 1
    fleet.deployment.change_worker('w0', born_ms=runner.born_ms)
    await fleet.deployment.wait(2)
    await fleet.submit('j', StepSpec(4 * CORES, CORE))
    await fleet.deployment.wait(0.3)
    assert _claims_for(fleet, 'w0')
    assert len(fleet.running()) == 1
    assert fleet.running()['j'] == 4 * CORES
