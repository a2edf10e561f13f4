"""Share of a CPU core used by the control plane."""

from datetime import timedelta

from chiveworks.base import Clock

_WINDOW = timedelta(seconds=10)


class ControlCpuShare:
    """CPU time of the control plane divided by elapsed time, per 10 s window."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started = clock.monotonic()
        self._used = timedelta(0)
        self._share = float(0)

    def add(self, cpu_time: timedelta) -> None:
        """Adds CPU time used by the control plane."""
        self._used += cpu_time
        self._roll_window()

    def share(self) -> float:
        """Returns the share in the last complete window; 0 before the first ends."""
        self._roll_window()
        return self._share

    def _roll_window(self) -> None:
        elapsed = self._clock.monotonic() - self._started
        if elapsed >= _WINDOW:
            self._share = self._used / elapsed
            self._used = timedelta(0)
            self._started += elapsed
