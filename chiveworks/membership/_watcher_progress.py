"""How recently a watcher is known to have seen the store."""

from datetime import timedelta

from chiveworks.base import Clock

_NO_TIME = timedelta(0)


class WatcherProgress:
    """Time of the last watch answer that this process's replica includes.

    The age travels with every exchange, so that one watcher's progress is known to
    peers that do not hear from it directly.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_at: timedelta | None = None

    def confirm(self, age: timedelta | None = _NO_TIME) -> None:
        """Notes progress made `age` ago; None stands for no progress at all."""
        if age is None:
            return
        at = self._clock.monotonic() - age
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def age(self) -> timedelta | None:
        """Returns the time since the last progress, None before the first."""
        if self._confirmed_at is None:
            return None
        return self._clock.monotonic() - self._confirmed_at
