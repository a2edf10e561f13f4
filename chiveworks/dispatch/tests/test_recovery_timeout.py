"""Tests what a new leader does if it cannot restore the stored state."""

import asyncio
from datetime import timedelta

import pytest
from result import Err

from chiveworks.base import Failure, Step
from chiveworks.dispatch.tests.deployment import start_leader
from chiveworks.metastore import JOB_PREFIX, PROGRESS_PREFIX
from chiveworks.workflow import JobState

#: Time in which another process must lead after one that cannot restore the state.
TAKEOVER_LIMIT_S = 7
#: Duration of a call that fails.
FAILURE_DELAY = timedelta(milliseconds=5)
#: Time, by the real clock, for which a call goes on after its cancellation.
CANCELLATION_DELAY = timedelta(milliseconds=300)


class UnreadableStore:
    """Store whose listings of one prefix fail; other calls, as renewals, succeed."""

    def __init__(self, store, prefix, fail):
        self.listings = 0
        self._store = store
        self._prefix = prefix
        self._fail = fail

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def read_all(self, prefix):
        if prefix != self._prefix:
            return await self._store.read_all(prefix)
        self.listings += 1
        return await self._fail()


def start_process_with_unreadable_store(deployment, prefix, fail):
    deployment.process('a')
    leader = deployment.leaders['a']
    leader._store = UnreadableStore(deployment.store, prefix, fail)
    return leader._store


async def wait_for_good():
    await asyncio.Event().wait()


async def wait_for_good_and_end_late():
    try:
        await wait_for_good()
    finally:
        await asyncio.sleep(CANCELLATION_DELAY.total_seconds())


@pytest.mark.parametrize('prefix', [PROGRESS_PREFIX, JOB_PREFIX])
@pytest.mark.parametrize('fail', [wait_for_good, wait_for_good_and_end_late])
async def test_a_leader_whose_listing_never_returns_is_replaced(
    deployment, prefix, fail
):
    """Guards against a process that renews its lease for good, so that no other one
    leads, while a call that it needs for the recovery never returns."""
    start_process_with_unreadable_store(deployment, prefix, fail)
    await deployment.wait(0.5)
    await _check_takeover(deployment)


@pytest.mark.parametrize('prefix', [PROGRESS_PREFIX, JOB_PREFIX])
async def test_a_leader_whose_listings_fail_is_replaced(deployment, prefix):
    """Guards against a process that renews its lease for good while each listing that
    it needs for the recovery fails, and against listings without a pause."""
    store = start_process_with_unreadable_store(
        deployment, prefix, lambda: _fail_after_delay(deployment.clock)
    )
    await deployment.wait(0.5)
    await _check_takeover(deployment)
    assert 10 <= store.listings <= 100


async def test_a_recovery_that_is_slow_but_in_time_ends_no_term(deployment):
    """Guards against a slow leader that is replaced before it has recovered."""

    async def list_slowly():
        await deployment.clock.sleep(timedelta(seconds=4))
        return await deployment.store.read_all(JOB_PREFIX)

    start_process_with_unreadable_store(deployment, JOB_PREFIX, list_slowly)
    await deployment.wait(10)
    assert len(deployment.log.named('leadership_gained')) == 1
    assert len(deployment.log.named('state_recovered')) == 1


async def _check_takeover(deployment):
    log = deployment.log
    assert log.named('leadership_gained')[-1]['process'] == 'a'
    await start_leader(deployment, 'b')
    await deployment.wait(TAKEOVER_LIMIT_S - 0.5)
    assert 'not recovered' in log.named('leadership_lost')[0]['reason']
    assert log.named('leadership_gained')[1]['process'] == 'b'
    await asyncio.sleep(2 * CANCELLATION_DELAY.total_seconds())
    assert deployment.leaders['a'].scheduler is None
    await deployment.submit('j')
    await deployment.wait(2)
    assert await deployment.state('j') is JobState.COMPLETED


async def _fail_after_delay(clock):
    await clock.sleep(FAILURE_DELAY)
    return Err(Failure.not_run(Step.STORE_READ, 'metadata stand-in', 'refused'))
