"""Guards against a test clock that wakes sleepers early, late or out of order."""

import asyncio
from datetime import timedelta

from chiveworks.base import ManualClock


async def test_sleepers_wake_in_order_of_their_deadlines():
    clock = ManualClock()
    woken: list[int] = []

    async def sleeper(delay_s: int) -> None:
        await clock.sleep(timedelta(seconds=delay_s))
        woken.append(delay_s)

    tasks = [asyncio.ensure_future(sleeper(delay)) for delay in (3, 1, 2)]
    await clock.advance(timedelta(seconds=2))
    assert woken == [1, 2]
    await clock.advance(timedelta(seconds=1))
    assert woken == [1, 2, 3]
    await asyncio.gather(*tasks)
