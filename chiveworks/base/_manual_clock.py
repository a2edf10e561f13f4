"""A clock for tests that only advances explicitly."""

import asyncio
import heapq
import itertools
from datetime import datetime, timedelta, timezone

_START = datetime(2026, 1, 1, tzinfo=timezone.utc)
#: Event loop iterations that woken tasks get after each step of the clock.
_LOOP_ITERATIONS = 20


class ManualClock:
    """Clock for tests; `advance` moves the time and wakes sleeping tasks in order."""

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
        """Moves the time without waking tasks, as if the process were suspended."""
        self._elapsed += delay

    async def advance(self, delay: timedelta) -> None:
        """Moves the time by `delay` and wakes the tasks that are due."""
        end = self._elapsed + delay
        await self._run_ready_tasks()
        while self._sleepers and self._sleepers[0][0] <= end:
            due, _, wake = heapq.heappop(self._sleepers)
            self._elapsed = max(due, self._elapsed)
            if not wake.done():
                wake.set_result(None)
            await self._run_ready_tasks()
        self._elapsed = end
        await self._run_ready_tasks()

    async def _run_ready_tasks(self) -> None:
        for _ in range(_LOOP_ITERATIONS):
            await asyncio.sleep(0)
