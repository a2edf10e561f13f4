"""Tests runs that a leader takes over from an earlier one."""

from datetime import timedelta

from chiveworks.base import JobId, Resources
from chiveworks.dispatch.tests.deployment import start_leader
from chiveworks.workflow import JobState, StepSpec, TaskState

CORE = Resources(1000, 1)


async def test_a_move_is_not_continued_by_the_next_leader(deployment):
    """Guards against the stop of the last working task of a step: an earlier leader
    decided to move it, and another task of the step has become unavailable since."""
    deployment.add_worker('w2')
    first = await start_leader(deployment, 'a')
    for runner in deployment.runners.values():
        runner._duration = timedelta(seconds=60)
    spec = StepSpec(2, CORE, long_running=True, worker_limit=1, unavailable_limit=1)
    await deployment.submit('j', spec)
    scheduler = deployment.leaders['a'].scheduler
    job = scheduler.table.jobs[JobId('j')]
    moved, other = job.tasks()
    deployment.runners[moved.worker].lose_stops = True
    scheduler.orders.stop(moved, 'moved to another worker')
    scheduler.writer.mark(job)
    await deployment.wait(0.3)
    assert job.version == job.durable_version
    assert moved.state is TaskState.STOPPING
    await deployment.kill(first)
    deployment.runners[moved.worker].lose_stops = False
    deployment.runners[other.worker].reachable = False
    deployment.process('b')
    await deployment.wait(4)
    assert deployment.log.named('leadership_gained')[-1]['process'] == 'b'
    assert not [
        entry
        for entry in deployment.runners[moved.worker].history
        if entry[0] == 'stopped'
    ]


async def test_a_task_that_is_done_does_not_start_again_without_its_last_worker(
    deployment,
):
    """Guards against a second start of a completed task: its last run was on a worker
    that the new leader never sees, and an earlier run completes it."""
    first = await start_leader(deployment, 'a')
    await deployment.submit('j', StepSpec(1, CORE), StepSpec(1, CORE, after=(0,)))
    earlier = next(n for n, runner in deployment.runners.items() if runner.running)
    later = next(name for name in deployment.runners if name != earlier)
    deployment.runners[later]._duration = timedelta(seconds=60)
    deployment.runners[earlier].reachable = False
    # The run is completed while its worker is not reachable.
    await deployment.wait(2)
    assert not deployment.runners[earlier].running
    await deployment.wait(5)
    assert deployment.runners[later].running
    await deployment.kill(first)
    deployment.runners[later].reachable = False
    deployment.store.remove(f'workers/{later}')
    deployment.runners[earlier].reachable = True
    # The job is still open when the lease of the missing worker has lapsed.
    deployment.runners[earlier]._duration = timedelta(seconds=10)
    deployment.process('b')
    await deployment.wait(25)
    assert [ref.step for ref in deployment.starts()].count(0) == 2
    assert await deployment.state('j') is JobState.COMPLETED
