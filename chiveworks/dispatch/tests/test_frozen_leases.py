"""Tests that runs go on while the store refuses the first records of a term."""

from datetime import timedelta

import pytest

from chiveworks.dispatch.tests import test_handed_over_leases
from chiveworks.dispatch.tests.lasting_runner import add_lasting_worker
from chiveworks.dispatch.tests.test_handed_over_leases import (
    Link,
    LinkedDeployment,
    start_task,
)


class SlowPolls(Link):
    """Connection on which each poll takes longer by a round trip."""

    round_trip = timedelta()

    async def poll(self, *arguments):
        await self._clock.sleep(self.round_trip / 2)
        result = await super().poll(*arguments)
        await self._clock.sleep(self.round_trip / 2)
        return result

    @property
    def _clock(self):
        return self._runner._clock


@pytest.fixture
async def linked():
    created = LinkedDeployment()
    for name in ('w0', 'w1'):
        add_lasting_worker(created, name)
    yield created
    await created.close()


async def refuse_writes_of_a_term(linked, first, seconds):
    """Replaces the leader by one whose writes are refused for some time."""
    await linked.wait(0.5)
    await linked.leaders['a'].resign()
    await linked.kill(first)
    while linked.leaders['b'].scheduler is None:
        await linked.wait(0.005)
    linked.refuse_writes = True
    await linked.wait(seconds)
    linked.refuse_writes = False
    await linked.wait(2)


@pytest.mark.parametrize('round_trip_ms', [0, 200, 400])
async def test_slow_polls_end_no_run_while_a_term_cannot_write(
    linked, monkeypatch, round_trip_ms
):
    """Guards against runs that lapse although their worker responds: each brief extension
    of the lease ended before the next poll arrived."""
    first, name = await start_task(linked)
    monkeypatch.setattr(test_handed_over_leases, 'Link', SlowPolls)
    monkeypatch.setattr(SlowPolls, 'round_trip', timedelta(milliseconds=round_trip_ms))
    linked.add_process('b')
    await refuse_writes_of_a_term(linked, first, 9)
    assert [entry[0] for entry in linked.runners[name].history] == ['start']


@pytest.mark.parametrize('lag_ms', [0, 50, 150])
@pytest.mark.parametrize('refused_s', [5, 9])
async def test_a_late_leader_ends_no_run_while_it_cannot_write(
    linked, lag_ms, refused_s
):
    """Guards against runs that lapse although their worker responds: the pauses between
    polls were stretched beyond the brief extensions of the lease."""

    def slow_down(scheduler):
        scheduler._load.observe = lambda _lateness: None
        scheduler._load.lag = timedelta(milliseconds=lag_ms)

    first, name = await start_task(linked)
    linked.add_process('b', slow_down)
    await refuse_writes_of_a_term(linked, first, refused_s)
    assert [entry[0] for entry in linked.runners[name].history] == ['start']
