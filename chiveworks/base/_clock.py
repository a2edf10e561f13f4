"""Interface of clocks, so that tests can control the time."""

from datetime import datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time for all code that waits or compares timestamps."""

    def now(self) -> datetime:
        """Returns the wall-clock time in UTC, for display and records only."""

    def monotonic(self) -> timedelta:
        """Returns the time since an arbitrary start; it never decreases."""

    async def sleep(self, delay: timedelta) -> None:
        """Waits for `delay`."""
