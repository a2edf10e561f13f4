"""Share of a core that control takes."""

from datetime import timedelta

from chiveworks.base import Clock

_WINDOW = timedelta(seconds=10)


class ControlShare:
    """Processor time of control divided by elapsed time, over the last window."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started = clock.monotonic()
        self._used = timedelta(0)
        self._share = float(0)

    def add(self, cpu_time: timedelta) -> None:
        """Counts processor time that control has used."""
        self._used += cpu_time
        self._roll()

    def share(self) -> float:
        """Returns the share in the last complete window; 0 before the first."""
        self._roll()
        return self._share

    def _roll(self) -> None:
        elapsed = self._clock.monotonic() - self._started
        if elapsed >= _WINDOW:
            self._share = self._used / elapsed
            self._used = timedelta(0)
            self._started += elapsed
