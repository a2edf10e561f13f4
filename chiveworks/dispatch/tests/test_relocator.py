"""Tests of lasting tasks that move before their worker leaves."""

from datetime import timedelta

import pytest

from chiveworks.base import JobId, Resources
from chiveworks.dispatch.tests.deployment import (
    GIGABYTE,
    InMemoryDeployment,
    start_leader,
)
from chiveworks.dispatch.tests.lasting_runner import LASTING, add_lasting_worker
from chiveworks.workflow import StepSpec, TaskRef

CORE = Resources(1000, GIGABYTE)
#: Notice in seconds that leaves time for early moves.
NOTICE_S = 6
EARLY_S = 4.2


@pytest.fixture
async def deployment():
    created = InMemoryDeployment(workers=0)
    yield created
    await created.close()


async def start(deployment, *workers):
    await start_leader(deployment)
    for name in workers:
        add_lasting_worker(deployment, name)
    await deployment.wait(0.5)


def drain(deployment, name):
    remaining = timedelta(seconds=NOTICE_S)
    deployment.change_worker(name, draining=True, remaining=remaining)


def workers_of(deployment, job, position=0):
    ref = TaskRef(JobId(job), 0, 0, position)
    return [name for name, each in deployment.runners.items() if ref in each.running]


async def longest_absence(deployment, count):
    """Returns for how long one of the tasks did not run until the departure."""
    away = [0.0] * count
    longest = 0.0
    for _ in range(int(NOTICE_S / 0.05)):
        await deployment.wait(0.05)
        for position in range(count):
            running = workers_of(deployment, LASTING, position)
            away[position] = 0 if running else away[position] + 0.05
        longest = max(longest, *away)
    return longest


async def test_tasks_with_a_limit_per_worker_move_to_different_workers(deployment):
    """Guards against two moves of a step to one worker, of which only one can take
    place, so that the other task waits although another worker is free."""
    await start(deployment, 'w0', 'w1')
    step = StepSpec(2, CORE, long_running=True, worker_limit=1, unavailable_limit=2)
    await deployment.submit(LASTING, step)
    for name in ('w2', 'w3'):
        add_lasting_worker(deployment, name)
    # One target is clearly better than the other.
    deployment.change_worker('w3', capacity=Resources(2000, 64 * GIGABYTE))
    await deployment.wait(1)
    drain(deployment, 'w0')
    drain(deployment, 'w1')
    assert await longest_absence(deployment, 2) < 1


async def test_steps_without_room_do_not_keep_others_from_moving(deployment):
    """Guards against searches for tasks that fit nowhere, which leave none for others."""
    await start(deployment)
    add_lasting_worker(deployment, 'w0', cores=50)
    await deployment.wait(0.5)
    large = StepSpec(1, Resources(5000, GIGABYTE), long_running=True)
    for number in range(8):
        await deployment.submit(f'{LASTING}{number}', large)
    await deployment.submit(LASTING, StepSpec(1, CORE, long_running=True))
    add_lasting_worker(deployment, 'w1', cores=3)
    await deployment.wait(1)
    drain(deployment, 'w0')
    await deployment.wait(EARLY_S)
    assert workers_of(deployment, LASTING) == ['w1']


async def test_a_task_of_a_lost_worker_counts_as_away(deployment):
    """Guards against more tasks of a step that are away than the step allows."""
    await start(deployment, 'w0', 'w1')
    step = StepSpec(2, CORE, long_running=True, worker_limit=1, unavailable_limit=1)
    await deployment.submit(LASTING, step)
    add_lasting_worker(deployment, 'w2')
    await deployment.wait(1)
    drain(deployment, 'w1')
    await deployment.wait(1)
    deployment.runners['w0'].leave()
    await deployment.wait(EARLY_S - 1)
    assert not deployment.log.named('lasting_task_moved')


@pytest.mark.parametrize('stops_end', [True, False])
async def test_a_move_that_fails_leaves_no_reservation(deployment, stops_end):
    """Guards against room that stays reserved: the target was lost, or the task could
    not be stopped."""
    await start(deployment, 'w0')
    await deployment.submit(LASTING, StepSpec(1, CORE, long_running=True))
    add_lasting_worker(deployment, 'w1')
    await deployment.wait(1)
    runner = deployment.runners['w0']
    runner.ignored_stops = 0 if stops_end else 1000
    runner.stop_duration = timedelta(seconds=2)
    drain(deployment, 'w0')
    await deployment.wait(NOTICE_S - 3)
    workers = deployment.leaders['a'].scheduler.fleet.workers
    assert workers['w1'].reservations
    deployment.runners['w1'].reachable = not stops_end
    await deployment.wait(5)
    assert not workers['w1'].reservations
