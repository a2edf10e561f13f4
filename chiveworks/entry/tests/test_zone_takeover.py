"""Guards against lost zones whose shard nobody takes over or gives back."""

import asyncio
from datetime import timedelta

from chiveworks.base import ZoneName
from chiveworks.entry._zone_takeover import ZoneTakeover

LAITA, ISOLE = ZoneName('laita'), ZoneName('isole')


class FakeReplica:
    def __init__(self):
        self.out = set()
        self.change_count = 0
        self.changed = asyncio.Event()

    def is_in_service(self, zone):
        return zone not in self.out

    async def wait_for_change(self, seen):
        if seen == self.change_count:
            await self.changed.wait()

    async def switch(self, *out):
        self.out = set(out)
        self.change_count += 1
        self.changed.set()
        self.changed = asyncio.Event()
        for _ in range(5):
            await asyncio.sleep(0)


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
    replica, made = FakeReplica(), {}

    def candidate_for(zone, contend_delay):
        # The zone's own processes must get the first chance to acquire the shard.
        assert contend_delay > timedelta(seconds=10)
        made[zone] = FakeCandidate()
        return made[zone]

    takeover = ZoneTakeover(ISOLE, (LAITA, ISOLE), replica, candidate_for)
    task = asyncio.ensure_future(takeover.run())
    await replica.switch()
    assert not made
    await replica.switch(LAITA, ISOLE)
    assert list(made) == [LAITA]
    assert made[LAITA].is_running
    made[LAITA].is_owner = True
    await replica.switch()
    assert made[LAITA].released.is_set()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
