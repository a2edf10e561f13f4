"""Usage measurements, which are reported with a lag."""

from collections import deque
from dataclasses import dataclass

from chiveworks.base import Resources, TaskId
from standins.workers._interference import slowdown_of
from standins.workers._run_table import RunTable

SAMPLE_INTERVAL_MS = 1000
_MAX_PENDING_SAMPLES = 4096
#: Share of the allocated CPU and memory that simulated tasks use.
_USED_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class Measurement:
    """Resource usage of one task at a time on the worker's clock."""

    task_id: TaskId
    used: Resources
    slowdown: float
    at_ms: int


class UsageRecorder:
    """Keeps measurements until their lag has passed."""

    def __init__(self, lag_ms: int) -> None:
        self._lag_ms = lag_ms
        self._pending: deque[Measurement] = deque(maxlen=_MAX_PENDING_SAMPLES)

    def sample(self, table: RunTable, at_ms: int) -> None:
        """Measures all running tasks and all services with requests in progress."""
        kinds = table.kinds()
        load = table.load()
        measured = [
            (run.task_id, run.kind, _used(run.allotted, run.share))
            for run in table.running()
        ]
        # Services are reported under their name, without resource usage.
        measured.extend(
            (TaskId(f'service:{service}'), service, Resources())
            for service in +table.serving
        )
        for task_id, kind, used in measured:
            slowdown = round(slowdown_of(kind, kinds, load), 3)
            self._pending.append(Measurement(task_id, used, slowdown, at_ms))

    def take_due(self, now_ms: int) -> list[Measurement]:
        """Removes the measurements that are due; returns the latest of each task."""
        latest: dict[TaskId, Measurement] = {}
        while self._pending and self._pending[0].at_ms <= now_ms - self._lag_ms:
            measurement = self._pending.popleft()
            latest[measurement.task_id] = measurement
        return list(latest.values())


def _used(allotted: Resources, share: float) -> Resources:
    return Resources(
        int(allotted.cpu_millicores * share * _USED_SHARE),
        int(allotted.memory_bytes * _USED_SHARE),
        allotted.accelerators,
    )
