"""The operating system's clock."""

import asyncio
import time
from datetime import datetime, timedelta, timezone


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> datetime:
        """Returns the wall-clock time in UTC."""
        return datetime.now(timezone.utc)

    def monotonic(self) -> timedelta:
        """Returns the time since boot, including time spent suspended."""
        # CLOCK_BOOTTIME continues while the instance is suspended, as leases do.
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    async def sleep(self, delay: timedelta) -> None:
        """Waits for `delay`."""
        await asyncio.sleep(max(delay.total_seconds(), 0))
