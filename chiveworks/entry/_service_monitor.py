"""Recent response times of services in this process."""

from collections import defaultdict, deque
from datetime import timedelta

import numpy as np

from chiveworks.base import Clock, EntryName

_WINDOW = timedelta(minutes=5)
_MAX_SAMPLES = 4096
_MS = timedelta(milliseconds=1)


class ServiceMonitor:
    """Keeps the latest response times of each service for `/v1/status`."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._samples: dict[EntryName, deque[tuple[timedelta, timedelta]]] = (
            defaultdict(_new_window)
        )

    def record(self, service: EntryName, latency: timedelta) -> None:
        """Adds one response time."""
        self._samples[service].append((self._clock.monotonic(), latency))

    def describe(self, service: EntryName, target_ms: int) -> dict[str, object]:
        """Returns statistics of the response times within the window.

        `requests` counts at most `_MAX_SAMPLES` requests. `on_target` is None if there
        is no target (0) or there were no requests.
        """
        oldest = self._clock.monotonic() - _WINDOW
        recent = [
            latency / _MS
            for at, latency in self._samples.get(service, ())
            if at >= oldest
        ]
        if not recent:
            return {'requests': 0, 'p50_ms': None, 'p99_ms': None, 'on_target': None}
        p50_ms, p99_ms = np.percentile(recent, (50, 99))
        return {
            'requests': len(recent),
            'p50_ms': round(float(p50_ms), 3),
            'p99_ms': round(float(p99_ms), 3),
            'on_target': bool(p99_ms <= target_ms) if target_ms else None,
        }


def _new_window() -> deque[tuple[timedelta, timedelta]]:
    return deque(maxlen=_MAX_SAMPLES)
