"""Measurements that are reported with a lag."""

from collections import deque
from dataclasses import dataclass

from chiveworks.base import Resources, TaskId
from standins.workers._interference import slowdown_of
from standins.workers._run_table import RunTable

SAMPLE_INTERVAL_MS = 1000
_KEPT_SAMPLES = 4096
#: Share of the allotted processors and memory that tasks of the stand-in use.
_USED_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class Measurement:
    """Use of one task at one time of the worker's clock."""

    task_id: TaskId
    used: Resources
    slowdown: float
    at_ms: int


class UsageRecorder:
    """Keeps measurements until their lag has passed."""

    def __init__(self, lag_ms: int) -> None:
        self._lag_ms = lag_ms
        self._waiting: deque[Measurement] = deque(maxlen=_KEPT_SAMPLES)

    def sample(self, table: RunTable, at_ms: int) -> None:
        """Measures all running tasks and busy services."""
        kinds = table.kinds()
        load = table.load()
        measured = [
            (run.task_id, run.kind, _used(run.allotted, run.share))
            for run in table.running()
        ]
        # A service appears under its name, with no resources of its own.
        measured.extend(
            (TaskId(f'service:{service}'), service, Resources())
            for service in +table.serving
        )
        for task_id, kind, used in measured:
            slowdown = round(slowdown_of(kind, kinds, load), 3)
            self._waiting.append(Measurement(task_id, used, slowdown, at_ms))

    def take(self, now_ms: int) -> list[Measurement]:
        """Removes what may be reported now; returns the latest of each task."""
        latest: dict[TaskId, Measurement] = {}
        while self._waiting and self._waiting[0].at_ms <= now_ms - self._lag_ms:
            measurement = self._waiting.popleft()
            latest[measurement.task_id] = measurement
        return list(latest.values())


def _used(allotted: Resources, share: float) -> Resources:
    return Resources(
        int(allotted.cpu_millicores * share * _USED_SHARE),
        int(allotted.memory_bytes * _USED_SHARE),
        allotted.accelerators,
    )
