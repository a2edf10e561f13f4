"""Tests the cancellation of gangs whose claims are not sent yet."""

import asyncio
import sys
from datetime import timedelta

from chiveworks.base import JobId, Resources
from chiveworks.dispatch.tests.deployment import start_leader
from chiveworks.workflow import JobState, StepSpec, TaskState

CORE = Resources(1000, 1)


async def test_a_gang_of_many_unsent_members_is_cancelled(deployment):
    """Guards against a RecursionError over the members, which ends the term."""
    members = sys.getrecursionlimit() + 200
    deployment.add_worker('large', members)
    await start_leader(deployment)
    job, release_writes = await _claim_gang(deployment, members)
    await _cancel(deployment, 'gang')
    assert not deployment.log.named('child_failed')
    assert {task.state for task in job.tasks()} == {TaskState.WAITING}
    release_writes()
    await deployment.wait(1)
    assert len(deployment.log.named('leadership_gained')) == 1
    assert await deployment.state('gang') is JobState.CANCELLED
    assert not deployment.starts()
    fleet = deployment.leaders['a'].scheduler.fleet
    assert not any(worker.tasks for worker in fleet.workers.values())


async def test_each_member_of_a_cancelled_gang_is_released_once(deployment):
    """Guards against stops of members that an earlier stop has already released."""
    await start_leader(deployment)
    _, release_writes = await _claim_gang(deployment, 6)
    await _cancel(deployment, 'gang')
    release_writes()
    log = deployment.log
    for event in ('run_stopping', 'run_lost'):
        positions = sorted(line['task'] for line in log.named(event))
        assert positions == [(0, 0, position) for position in range(6)]
    assert not log.named('stop_not_sent')


async def test_a_gang_is_stopped_again_after_an_earlier_stop(deployment):
    """Guards against a gang whose members are stopped together only once."""
    deployment.add_worker('w2', 4)
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=60)
    await deployment.submit('gang', StepSpec(3, CORE, gang=True))
    scheduler = deployment.leaders['a'].scheduler
    tasks = list(scheduler.table.jobs[JobId('gang')].tasks())
    for _ in range(2):
        attempt = tasks[0].attempt
        workers = scheduler.fleet.workers
        scheduler._on_released(workers[tasks[0].worker], tasks[0], 'refused')
        assert [task.state for task in tasks[1:]] == [TaskState.STOPPING] * 2
        await deployment.wait(3)
        assert tasks[0].attempt > attempt
        assert {task.state for task in tasks} == {TaskState.RUNNING}


async def _claim_gang(deployment, members):
    """Submits a gang and lets its claims wait to become durable."""
    term = deployment.leaders['a']._term
    write, released = term.write, asyncio.Event()

    async def write_later(*args):
        await released.wait()
        await write(*args)

    term.write = write_later
    await deployment.submit('gang', StepSpec(members, CORE, gang=True))
    await deployment.wait(0.2)
    job = deployment.leaders['a'].scheduler.table.jobs[JobId('gang')]
    assert {task.state for task in job.tasks()} == {TaskState.CLAIMED}
    assert not any(task.sent for task in job.tasks())
    return job, released.set


async def _cancel(deployment, name):
    call = deployment.spawn(deployment.intake.cancel(JobId(name)))
    await deployment.wait(0.2)
    assert call.done()
