"""Tests that crashes count while leaders, the store and its answers fail."""

from datetime import timedelta

import pytest

from chiveworks.dispatch.tests.crashing_workers import CrashingFleet

#: Enough for six starts, each followed by a crash. The next leader releases the runs of a
#: worker that is back under another id once its lease has lapsed.
LONG_ENOUGH = 60


@pytest.fixture(params=[True, False], ids=['same-id', 'new-id'])
async def fleet(request):
    created = CrashingFleet(keeps_id=request.param)
    try:
        await created.start()
        yield created
    finally:
        await created.deployment.close()


async def test_a_task_that_crashes_its_workers_is_given_up_by_a_later_leader(fleet):
    """Guards against a count of crashes that is lost with the leader: each leader ends
    after a crash and before the worker is back."""
    fleet.on_crash = fleet.replace_leader
    await fleet.submit('deadly', deadly=[(0, 0)])
    await fleet.deployment.wait(LONG_ENOUGH)
    assert len(fleet.deployment.log.named('leadership_gained')) > 1
    await fleet.check_given_up('deadly')


async def test_crashes_before_an_adopted_run_is_reported_count(fleet):
    """Guards against crashes that no leader counts, since the leader ended at once and
    the worker is back before the next leader reaches it."""
    fleet.on_crash = fleet.replace_leader
    fleet.downtime = timedelta(milliseconds=800)
    await fleet.submit('deadly', deadly=[(0, 0)])
    await fleet.deployment.wait(LONG_ENOUGH)
    await fleet.check_given_up('deadly')


async def test_crashes_that_show_after_a_lapse_under_the_next_leader_count(fleet):
    """Guards against crashes that count for nobody: the leader ended after the crash,
    and the worker is back only after its lease has lapsed for the next one."""
    fleet.on_crash = fleet.replace_leader
    fleet.downtime = timedelta(seconds=9)
    await fleet.submit('deadly', deadly=[(0, 0)])
    await fleet.deployment.wait(LONG_ENOUGH)
    await fleet.check_given_up('deadly')


@pytest.mark.parametrize(
    ('begins_s', 'lasts_s'),
    [
        pytest.param(0, 2.5, id='crash'),
        pytest.param(3, 1, id='return'),
        pytest.param(0.1, 5, id='both'),
    ],
)
async def test_crashes_count_while_the_store_is_away(fleet, begins_s, lasts_s):
    """Guards against a count of crashes that is not stored because the store was away
    at the crash or at the return of the worker."""

    async def stop_store():
        await fleet.deployment.clock.sleep(timedelta(seconds=begins_s))
        fleet.deployment.store.faults.refuse = True
        await fleet.deployment.clock.sleep(timedelta(seconds=lasts_s))
        fleet.deployment.store.faults.refuse = False

    fleet.on_crash = stop_store
    await fleet.submit('deadly', deadly=[(0, 0)])
    await fleet.deployment.wait(LONG_ENOUGH)
    await fleet.check_given_up('deadly')


async def test_crashes_count_once_while_the_store_loses_answers(fleet):
    """Guards against a crash that is counted twice, or not at all, because the answer
    of the write that stores it was lost."""

    async def lose_answers():
        await fleet.deployment.clock.sleep(fleet.downtime)
        fleet.deployment.store.faults.lose_answers = 3

    fleet.on_crash = lose_answers
    await fleet.submit('deadly', deadly=[(0, 0)])
    await fleet.deployment.wait(LONG_ENOUGH)
    await fleet.check_given_up('deadly')
    assert min(fleet.start_counts()) > 1
