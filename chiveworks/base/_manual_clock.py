"""A clock that moves only when told to."""

import asyncio
import heapq
import itertools
from datetime import datetime, timedelta, timezone

_START = datetime(2026, 1, 1, tzinfo=timezone.utc)
#: Rounds of the event loop given to woken tasks at each step of the clock.
_SETTLE_ROUNDS = 20


class ManualClock:
    """Clock for tests: `advance` moves time and wakes sleeping tasks in order."""

    def __init__(self) -> None:
        self._elapsed = timedelta(0)
        self._order = itertools.count()
        self._sleepers: list[tuple[timedelta, int, asyncio.Future[None]]] = []

    def now(self) -> datetime:
        """Returns the start of 2026 plus the elapsed time."""
        return _START + self._elapsed

    def monotonic(self) -> timedelta:
        """Returns the time advanced so far."""
        return self._elapsed

    async def sleep(self, delay: timedelta) -> None:
        """Waits until the clock has been advanced by `delay`."""
        wake = asyncio.get_running_loop().create_future()
        due = self._elapsed + delay
        heapq.heappush(self._sleepers, (due, next(self._order), wake))
        await wake

    def shift(self, delay: timedelta) -> None:
        """Moves time without running anybody, like a suspended process."""
        self._elapsed += delay

    async def advance(self, delay: timedelta) -> None:
        """Moves time by `delay`, waking sleepers when their time comes."""
        end = self._elapsed + delay
        await self._settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            due, _, wake = heapq.heappop(self._sleepers)
            self._elapsed = max(due, self._elapsed)
            if not wake.done():
                wake.set_result(None)
            await self._settle()
        self._elapsed = end
        await self._settle()

    async def _settle(self) -> None:
        for _ in range(_SETTLE_ROUNDS):
            await asyncio.sleep(0)
