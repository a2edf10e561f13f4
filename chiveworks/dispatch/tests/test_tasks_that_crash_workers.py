"""Tests that a task that crashes the workers that start it is given up."""

from datetime import timedelta

import pytest

from chiveworks.dispatch.tests.crashing_workers import CORE, CrashingFleet
from chiveworks.workflow import JobState, StepSpec

#: Enough for seven starts, each followed by a crash and a restart of the worker.
LONG_ENOUGH = 25
#: Enough for the same number of starts if each run waits until the lease has lapsed.
LAPSES = 60


@pytest.fixture(params=[True, False], ids=['same-id', 'new-id'])
async def fleet(request):
    created = CrashingFleet(keeps_id=request.param)
    try:
        await created.start()
        yield created
    finally:
        await created.deployment.close()


@pytest.mark.parametrize('delay_ms', [0, 10, 400])
async def test_a_task_that_crashes_its_workers_is_given_up(fleet, delay_ms):
    """Guards against a task that crashes one worker after the other without end."""
    fleet.crash_delay = timedelta(milliseconds=delay_ms)
    await fleet.submit('deadly', deadly=[(0, 0)])
    await fleet.deployment.wait(LONG_ENOUGH)
    await fleet.check_given_up('deadly')


async def test_a_task_is_given_up_if_its_workers_are_away_beyond_their_leases(fleet):
    """Guards against crashes that are not counted because the worker comes back only
    after its lease has lapsed."""
    fleet.downtime = timedelta(seconds=8)
    await fleet.submit('deadly', deadly=[(0, 0)])
    await fleet.deployment.wait(LAPSES)
    await fleet.check_given_up('deadly')


async def test_a_lasting_task_that_crashes_its_workers_is_given_up(fleet):
    """Guards against a lasting task that is restarted however many workers crash."""
    await fleet.submit('lasting', StepSpec(1, CORE, long_running=True), deadly=[(0, 0)])
    await fleet.deployment.wait(LONG_ENOUGH)
    await fleet.check_given_up('lasting')


async def test_a_gang_with_a_member_that_crashes_workers_is_given_up(fleet):
    """Guards against a gang that is restarted without end, since the crash of one
    member ends the runs of the others as broken."""
    fleet.on_crash = lambda: fleet.break_gang('gang')
    await fleet.submit('gang', StepSpec(3, CORE, gang=True), deadly=[(0, 1)])
    await fleet.deployment.wait(LONG_ENOUGH)
    await fleet.check_given_up('gang')


async def test_a_gang_wider_than_its_service_runs_again_after_a_crash(fleet):
    """Guards against a gang that never runs again because its suspects, which start
    apart from other tasks, find each worker taken by its other members."""
    await fleet.submit('gang', StepSpec(6, CORE, gang=True))
    await fleet.deployment.wait(0.3)
    name = next(iter(fleet.deployment.runners))
    fleet.on_crash = lambda: fleet.break_gang('gang')
    fleet.deployment.spawn(fleet.crash(name))
    await fleet.deployment.wait(LONG_ENOUGH)
    assert fleet.crash_count == 1
    assert len(fleet.deployment.starts()) == 12
    assert await fleet.deployment.state('gang') is JobState.COMPLETED


async def test_a_later_step_that_crashes_workers_ends_its_job(fleet):
    """Guards against a job that stays open after a task of a later step was given up,
    and against starts of the steps after it."""
    await fleet.submit(
        'chain',
        StepSpec(2, CORE),
        StepSpec(2, CORE, after=(0,)),
        StepSpec(1, CORE, after=(1,)),
        deadly=[(1, 1)],
    )
    await fleet.deployment.wait(LONG_ENOUGH)
    await fleet.check_given_up('chain')
    assert not [ref for ref in fleet.deployment.starts() if ref.step == 2]


async def test_a_speculative_task_that_crashes_workers_is_given_up(fleet):
    """Guards against a speculative task that is exempt from the limit."""
    await fleet.submit(
        'speculative', StepSpec(2, CORE, speculative=True), deadly=[(0, 0)]
    )
    await fleet.deployment.wait(LONG_ENOUGH)
    await fleet.check_given_up('speculative')


async def test_a_cancelled_job_with_a_deadly_task_is_not_shown_as_failed(fleet):
    """Guards against a cancelled job whose state changes when its task is given up."""
    await fleet.submit('deadly', deadly=[(0, 0)])
    call = fleet.deployment.spawn(fleet.deployment.intake.cancel('deadly'))
    await fleet.deployment.wait(LONG_ENOUGH)
    assert call.done()
    assert max(fleet.start_counts()) <= 1
    assert await fleet.deployment.state('deadly') is JobState.CANCELLED
