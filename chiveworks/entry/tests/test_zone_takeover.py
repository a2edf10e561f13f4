"""Guards against lost zones that nobody empties, and shards kept after a return."""

import asyncio
from datetime import timedelta

from chiveworks.base import ManualClock, ZoneName
from chiveworks.entry._zone_takeover import ZoneTakeover

LAITA, ISOLE = ZoneName('laita'), ZoneName('isole')


class FakeReplica:
    def __init__(self):
        self.out = set()

    def is_in_service(self, zone):
        return zone not in self.out


class FakeCandidate:
    def __init__(self):
        self.is_owner = False
        self.is_running = False
        self.released = asyncio.Event()

    async def run(self):
        self.is_running = True
        await self.released.wait()
        self.is_owner = False

    async def release(self):
        self.released.set()


async def test_contends_only_while_a_zone_is_out():
    clock, replica, made = ManualClock(), FakeReplica(), {}

    def contend_for(zone, patience):
        # The zone's own processes must come first.
        assert patience > timedelta(seconds=10)
        made[zone] = FakeCandidate()
        return made[zone]

    takeover = ZoneTakeover(ISOLE, (LAITA, ISOLE), replica, contend_for, clock)
    task = asyncio.ensure_future(takeover.run())
    await clock.advance(timedelta(seconds=2))
    assert not made
    replica.out = {LAITA, ISOLE}
    await clock.advance(timedelta(seconds=2))
    assert list(made) == [LAITA]
    assert made[LAITA].is_running
    made[LAITA].is_owner = True
    replica.out = set()
    await clock.advance(timedelta(seconds=2))
    assert made[LAITA].released.is_set()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
