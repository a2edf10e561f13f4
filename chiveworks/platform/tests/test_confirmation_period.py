"""How old the confirmation of the configuration becomes while calls are lost."""

import asyncio
from datetime import timedelta

import pytest
from result import Err

from chiveworks.accounts import KeyCheck
from chiveworks.accounts._key_check import CONFIRMATION_SHARE
from chiveworks.base import Failure, ManualClock, Step
from chiveworks.dispatch.tests.deployment import RecordingLog
from chiveworks.metastore import WATCH_WAIT, Replica
from chiveworks.platform._metadata_client import WATCH_TIMEOUT_MARGIN
from standins.metadata import MemoryMetadataStore

#: Limits of revocations; the first is that of the platform's deployments. With less than
#: about 3.5 s, the timeout of a watch alone takes too long.
LIMITS_S = (5, 4, 10)
TICK = timedelta(milliseconds=20)
SLOW_ANSWER = timedelta(milliseconds=240)


class LossyStore(MemoryMetadataStore):
    """Store that answers slowly and loses the answer of one watch."""

    lost = False

    async def watch(self, prefix, after, wait):
        if self.lost:
            self.lost = False
            await self._clock.sleep(wait + WATCH_TIMEOUT_MARGIN)
            return Err(Failure.unknown(Step.READ, 'store', 'no answer'))
        result = await super().watch(prefix, after, wait)
        await self._clock.sleep(SLOW_ANSWER)
        return result


async def oldest_age(wait):
    """Returns the highest age of the confirmation around a watch that is lost."""
    clock = ManualClock()
    store = LossyStore(clock)
    log = RecordingLog(clock)
    replica = Replica(store, 'op/', lambda _name, entry: entry, clock, log, wait)
    run = asyncio.create_task(replica.run())
    await clock.advance(3 * wait)
    store.lost = True
    oldest = timedelta()
    for _ in range(8 * wait // TICK):
        await clock.advance(TICK)
        oldest = max(oldest, clock.monotonic() - replica.confirmed_at)
    run.cancel()
    await asyncio.gather(run, return_exceptions=True)
    assert not store.lost
    return oldest


@pytest.mark.parametrize('limit_s', LIMITS_S)
async def test_a_lost_answer_refuses_no_calls(limit_s):
    """Guards against clients that are refused whenever one answer of the store is lost,
    as with the longest wait of a watch."""
    limit = timedelta(seconds=limit_s)
    wait = min(KeyCheck(limit).confirmation_period, WATCH_WAIT)
    assert await oldest_age(wait) < CONFIRMATION_SHARE * limit


async def test_the_longest_wait_is_too_long_for_the_platforms_limit():
    """Guards against a shorter wait, and so more calls, that is no longer needed."""
    assert await oldest_age(WATCH_WAIT) > CONFIRMATION_SHARE * timedelta(seconds=5)


def test_a_very_short_limit_does_not_flood_the_store():
    """Guards against watches that return at once, for ever."""
    assert KeyCheck(timedelta()).confirmation_period == timedelta(milliseconds=100)
