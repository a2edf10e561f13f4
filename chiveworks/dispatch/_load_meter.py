"""Measures how far the work of the scheduler falls behind."""

from datetime import timedelta
from typing import Final

#: Share of a new measurement in the average.
_NEW_SHARE: Final = 0.2
#: How many times the lag of the event loop a pause that may be stretched lasts.
STRETCH: Final = 4
#: Maximum stretched pause. Workers are polled again well within their leases.
MAX_PAUSE: Final = timedelta(milliseconds=600)


class LoadMeter:
    """Average lag of the event loop, from which optional work is slowed down.

    The load that it answers: more reports arrive than the scheduler can apply. Polling
    less often puts more ended runs into each report, so that a report costs less for
    each run, and leaves time for starts.

    Attributes:
        lag: Average time by which a periodic task runs late.
    """

    def __init__(self) -> None:
        self.lag = timedelta()

    def observe(self, lateness: timedelta) -> None:
        """Takes note of the time by which a periodic task ran late."""
        self.lag += (max(lateness, timedelta()) - self.lag) * _NEW_SHARE

    def stretch(self, pause: timedelta) -> timedelta:
        """Returns a pause that is longer while the scheduler is behind."""
        return min(pause + STRETCH * self.lag, max(pause, MAX_PAUSE))
