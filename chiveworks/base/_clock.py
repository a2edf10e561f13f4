"""The clock as an interface, so that tests can step time."""

from datetime import datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time for all code that waits or compares times."""

    def now(self) -> datetime:
        """Returns the wall-clock time in UTC, for people and records only."""

    def monotonic(self) -> timedelta:
        """Returns the time since an arbitrary start; it never goes back."""

    async def sleep(self, delay: timedelta) -> None:
        """Waits for `delay`."""
