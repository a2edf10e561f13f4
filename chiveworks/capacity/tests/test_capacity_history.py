"""Workers that are gone count for a while."""

from datetime import timedelta

import pytest

from chiveworks.base import ManualClock, Resources, WorkerId
from chiveworks.capacity import CapacityHistory, ServiceCapacity, WorkerShape
from chiveworks.capacity._capacity_history import MEMORY

SMALL = WorkerShape(Resources(1000, 10))
LARGE = WorkerShape(Resources(4000, 40))
SECOND = timedelta(seconds=1)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def history(clock):
    return CapacityHistory(clock)


async def test_a_worker_that_is_gone_counts_for_a_while(clock, history):
    """Guards against refusals while a worker restarts, and against those never made."""
    history.observe('pool', WorkerId('w0'), LARGE)
    history.observe('pool', WorkerId('w1'), SMALL)
    await clock.advance(MEMORY - SECOND)
    history.observe('pool', WorkerId('w1'), SMALL)
    assert history.services()['pool'].counts == {LARGE: 1, SMALL: 1}
    await clock.advance(2 * SECOND)
    assert history.services()['pool'].counts == {SMALL: 1}
    await clock.advance(MEMORY)
    assert not history.services()


async def test_a_worker_that_starts_again_with_another_size_counts_with_both(history):
    """Guards against refusals of what the former incarnation could run."""
    history.observe('pool', WorkerId('w0'), LARGE)
    history.observe('pool', WorkerId('w0'), SMALL)
    assert history.services()['pool'].counts == {LARGE: 1, SMALL: 1}


@pytest.mark.parametrize('capacity', [Resources(), Resources(1), Resources(0, 1)])
async def test_a_service_with_a_worker_of_unknown_size_is_unknown(history, capacity):
    """Guards against refusals by an entry that lacks a field."""
    history.inherit({'pool': ServiceCapacity({LARGE: 1})})
    history.observe('pool', WorkerId('w0'), LARGE)
    history.observe('pool', WorkerId('w1'), WorkerShape(capacity))
    history.observe('other', WorkerId('w2'), SMALL)
    assert history.services().keys() == {'other'}


async def test_what_an_earlier_leader_saw_counts_for_a_while(clock, history):
    """Guards against refusals by a leader that has not seen the workers that are away.

    The same workers do not count twice, or the numbers would grow with each leader.
    """
    history.inherit(
        {
            'pool': ServiceCapacity({LARGE: 2, SMALL: 1}),
            'gone': ServiceCapacity({SMALL: 1}),
        }
    )
    for name in ('w0', 'w1', 'w2'):
        history.observe('pool', WorkerId(name), SMALL)
    assert history.services()['pool'].counts == {LARGE: 2, SMALL: 3}
    assert history.services()['gone'].counts == {SMALL: 1}
    await clock.advance(MEMORY + SECOND)
    history.observe('pool', WorkerId('w0'), SMALL)
    assert history.services() == {'pool': ServiceCapacity({SMALL: 1})}
