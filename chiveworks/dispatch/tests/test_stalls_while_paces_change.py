"""Tests that runs which stand still are found while their paces change."""

from datetime import timedelta

from chiveworks.base import JobId
from chiveworks.dispatch._stall_detector import STALL_TIMEOUT
from chiveworks.dispatch.tests.deployment import start_leader
from chiveworks.dispatch.tests.test_slow_stalls import FILLER

#: Time between two changes, somewhat more than `MIN_CHANGE_INTERVAL`.
CHANGE_INTERVAL_S = 0.7


async def submit_filler(deployment, *, stalls):
    """Returns the task of a job that keeps the paces which a test sets."""
    await start_leader(deployment)
    for runner in deployment.runners.values():
        runner.stall_runs = stalls
        # A step of a percent takes 1 s.
        runner._duration = timedelta(seconds=100)
    await deployment.submit('j', FILLER)
    await deployment.wait(0.3)
    scheduler = deployment.leaders['a'].scheduler
    scheduler._guard._speed_up = lambda *_: None
    (task,) = scheduler.table.jobs[JobId('j')].tasks()
    return scheduler, task


async def change_paces(deployment, scheduler, task, paces):
    for pace in paces:
        if task.attempt > 1:
            return
        scheduler.orders.set_pace(scheduler.fleet.workers[task.worker], task, pace)
        await deployment.wait(CHANGE_INTERVAL_S)


async def test_a_run_that_stands_still_is_stopped_while_its_pace_changes(deployment):
    """Guards against a stalled run that is never stopped, since each change of its pace
    with the load of the serving tasks begins the timeout anew."""
    scheduler, task = await submit_filler(deployment, stalls=True)
    await change_paces(deployment, scheduler, task, (60, 80) * 6)
    assert task.attempt > 1


async def test_a_slow_run_is_not_stopped_when_its_pace_rises(deployment):
    """Guards against the time that a step of a percent takes at a low pace, counted as
    time at full pace."""
    scheduler, task = await submit_filler(deployment, stalls=False)
    worker = scheduler.fleet.workers[task.worker]
    scheduler.orders.set_pace(worker, task, 20)
    now = deployment.clock.monotonic()
    # The last step took place 4 s ago, which is 0.8 s at full pace.
    task.progressed_at = now - timedelta(seconds=4)
    scheduler.orders.set_pace(worker, task, 100)
    left = STALL_TIMEOUT - (now - task.progressed_at)
    assert left > timedelta(seconds=1)
    await deployment.wait(8)
    assert task.attempt == 1
