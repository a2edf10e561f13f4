"""Tests that lasting tasks run while leaders are replaced in series."""

from datetime import timedelta

import pytest

from chiveworks.dispatch.tests.test_departing_workers import (
    NOTICE,
    RESTART_LIMIT,
    STOP_DURATION,
    Handover,
)
from chiveworks.metastore._candidacy import LEADER_TTL

#: Time within which a run ends that another leader has to stop.
STOP_LIMIT = 0.5


@pytest.fixture
async def handover():
    created = Handover()
    yield created
    await created.deployment.close()


async def lead_briefly(handover, number):
    """Replaces the leader by a process whose term ends during its recovery."""
    await handover.replace_leader(number)
    leaders = handover.deployment.leaders
    while leaders[f'leader{number}'].scheduler is None:
        await handover.deployment.wait(0.001)


@pytest.mark.parametrize('count', [1, 3])
async def test_a_term_that_ends_during_its_recovery_does_not_extend_the_wait(
    handover, count
):
    """Guards against a lasting task that waits for a whole lease once more: a term that
    had written nothing made the record of the term before it worthless."""
    name = await handover.start()
    await handover.deployment.wait(2)
    handover.leave(name)
    await handover.deployment.wait(5)
    for number in range(1, count + 1):
        await lead_briefly(handover, number)
    await handover.replace_leader(count + 1)
    await handover.deployment.wait(RESTART_LIMIT - 5)
    assert handover.running_on()


@pytest.mark.parametrize('killed_before', [0.2, 1, 1.5, 2, 2.5, 4])
async def test_a_leader_killed_before_an_announced_departure_loses_no_run(
    handover, killed_before
):
    """Guards against a lasting task that waits for a lease: its worker left as announced
    while no process led, and only the next leader could have stopped the run."""
    name = await handover.start()
    handover.deployment.runners[name].stop_duration = STOP_DURATION
    handover.deployment.change_worker(
        name, draining=True, remaining=timedelta(seconds=NOTICE)
    )
    await handover.deployment.wait(NOTICE - killed_before)
    await handover.replace_leader(1, killed=True)
    await handover.deployment.wait(killed_before)
    handover.leave(name)
    assert handover.ends_on(name) == ['stopped']
    await handover.deployment.wait(LEADER_TTL.total_seconds() + STOP_LIMIT)
    assert handover.running_on()
