"""Tests that a wait which began under an earlier leader goes on under the next ones."""

from datetime import timedelta

import pytest

from chiveworks.base import JobId, Resources
from chiveworks.dispatch.tests.deployment import start_leader
from chiveworks.dispatch.tests.test_interrupted_tasks import PATIENT, QUEUE, Fleet
from chiveworks.workflow import StepSpec

CORE = Resources(1000, 1)
#: Time in seconds between two changes of the leader, as in a rolling restart.
TERM = 2
#: Time in seconds within which the platform wants a lasting task to run again.
RESTART_LIMIT = 9


async def resign_and_replace(deployment, process, number):
    """Ends the leader in an orderly way; returns the process that follows it."""
    for leader in deployment.leaders.values():
        await leader.resign()
    await deployment.kill(process)
    return deployment.process(f'next{number}')


def starts(runner):
    """Returns the number of runs that a worker has started."""
    return sum(entry[0] == 'start' for entry in runner.history)


@pytest.mark.parametrize(('changes', 'term_s'), [(0, TERM), (4, TERM), (8, 1)])
async def test_room_is_kept_for_a_lasting_task_while_leaders_change(changes, term_s):
    """Guards against a lasting task that waits for as long as leaders are replaced: each
    of them drops the reservation and makes the next one only after `RESERVED_WAIT`."""
    fleet = Fleet()
    deployment = fleet.deployment
    try:
        await fleet.start(3, 3, PATIENT)
        await fleet.add_backlog(1, 150, PATIENT)
        await fleet.drain()
        process = fleet.process
        passed = 0
        for number in range(changes):
            await deployment.wait(term_s)
            passed += term_s
            if not fleet.running_on():
                process = await resign_and_replace(deployment, process, number)
        await deployment.wait(RESTART_LIMIT - passed)
        assert fleet.waiting(PATIENT)
        assert fleet.running_on()
    finally:
        await deployment.close()


@pytest.mark.parametrize('changes', [0, 3])
async def test_a_stalled_run_is_moved_while_leaders_change(deployment, changes):
    """Guards against a run that stands still for as long as leaders are replaced: each
    of them counts the time without progress from the beginning of its term."""
    process = await start_leader(deployment)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=30)
    await deployment.submit('j', StepSpec(1, CORE))
    name = next(n for n, each in deployment.runners.items() if each.running)
    deployment.runners[name].stall_runs = True
    for number in range(changes):
        await deployment.wait(TERM)
        process = await resign_and_replace(deployment, process, number)
    await deployment.wait(6 - changes * TERM)
    assert not deployment.runners[name].running
    assert any(each.running for each in deployment.runners.values())


async def test_the_age_of_a_job_that_waits_does_not_begin_anew(deployment):
    """Guards against a job that has expired in the queue and takes room from jobs that
    can be done in time, since the next leader counts it as new."""
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=60)
    process = await start_leader(deployment)
    for number in range(8):
        await deployment.submit(f'busy{number}', queue=QUEUE)
    await deployment.submit('old', queue=QUEUE)
    job = deployment.leaders['a'].scheduler.table.jobs[JobId('old')]
    expires_at = job.expires_at
    await deployment.wait(14)
    await resign_and_replace(deployment, process, 0)
    await deployment.wait(0.5)
    (scheduler,) = [
        each.scheduler for each in deployment.leaders.values() if each.scheduler
    ]
    restored = scheduler.table.jobs[JobId('old')]
    assert not restored.started
    assert restored.expires_at - expires_at < timedelta(seconds=5)


async def test_a_quarantine_outlasts_its_leader(deployment):
    """Guards against a worker that fails all runs and gets new ones with each leader, so
    that jobs which a sound worker could do use up their attempts."""
    process = await start_leader(deployment)
    bad = deployment.runners['w0']
    bad.fail_runs = True
    bad._duration = timedelta(milliseconds=100)
    deployment.runners['w1']._duration = timedelta(seconds=60)
    for number in range(8):
        await deployment.submit(f'j{number}', queue=QUEUE)
    for _ in range(100):
        if deployment.log.named('worker_quarantined'):
            break
        await deployment.wait(0.05)
    assert deployment.log.named('worker_quarantined')
    await deployment.wait(0.2)
    before = starts(bad)
    await resign_and_replace(deployment, process, 0)
    await deployment.wait(0.8)
    assert starts(bad) == before
