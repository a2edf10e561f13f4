"""Age of the latest known watcher progress."""

from datetime import timedelta

from chiveworks.base import Clock

_ZERO_AGE = timedelta(0)


class WatcherProgress:
    """Time of the latest watch response that this process's replica includes.

    Every exchange transmits its age, so the progress of a watcher also reaches peers
    that have no direct contact with it.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_at: timedelta | None = None

    def confirm(self, age: timedelta | None = _ZERO_AGE) -> None:
        """Records progress made `age` ago; None means no known progress."""
        if age is None:
            return
        at = self._clock.monotonic() - age
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def age(self) -> timedelta | None:
        """Returns the time since the latest progress; None before the first."""
        if self._confirmed_at is None:
            return None
        return self._clock.monotonic() - self._confirmed_at
