"""Trains the slowdown estimator with delayed measurements from workers."""

from collections import Counter, defaultdict, deque
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import Clock, TaskId, WorkerId
from chiveworks.instances import Instance
from chiveworks.placement._slowdown_estimator import SlowdownEstimator
from chiveworks.placement._slowdown_sample import SlowdownSample
from chiveworks.workers import ReportedState, UsageSample, WorkerReport

#: Snapshots kept per worker; older measurements are matched with the oldest one.
_MAX_SNAPSHOTS = 16
_SERVICE_PREFIX = 'service:'


@dataclass(frozen=True, slots=True)
class _WorkerSnapshot:
    """Kinds of the tasks that ran on a worker from `since`, and its load."""

    since: timedelta
    kinds: Counter[str]
    load: float


class InterferenceLearner:
    """Matches each measurement with the tasks on the worker at that time."""

    def __init__(self, estimator: SlowdownEstimator, clock: Clock) -> None:
        self._estimator = estimator
        self._clock = clock
        self._history: dict[WorkerId, deque[_WorkerSnapshot]] = defaultdict(
            _new_history
        )
        self._used_millicores: dict[WorkerId, dict[TaskId, int]] = defaultdict(dict)

    def load_of(self, worker: WorkerId) -> float:
        """Returns the last measured load of a worker, 0 to 1."""
        history = self._history.get(worker)
        return history[-1].load if history else 0

    def observe(
        self, instance: Instance, report: WorkerReport, kinds: Mapping[TaskId, str]
    ) -> None:
        """Updates the estimator from a worker report."""
        now = self._clock.monotonic()
        running = [
            task.task_id
            for task in report.tasks
            if task.state is ReportedState.RUNNING and task.task_id in kinds
        ]
        running_kinds = Counter(kinds[task_id] for task_id in running)
        running_kinds.update(str(service) for service in instance.services)
        load = self._update_load(instance, report, set(running))
        history = self._history[report.worker]
        history.append(_WorkerSnapshot(now, running_kinds, load))
        samples = (
            _sample(usage, kind, history, now)
            for usage in report.usage
            if (kind := _kind_of(usage, kinds))
        )
        self._estimator.partial_fit(samples)

    def _update_load(
        self, instance: Instance, report: WorkerReport, running: set[TaskId]
    ) -> float:
        """Records the processors in use and returns the worker's load, 0 to 1."""
        used = self._used_millicores[report.worker]
        for usage in report.usage:
            used[usage.task_id] = usage.used.cpu_millicores
        for task_id in used.keys() - running:
            if not task_id.startswith(_SERVICE_PREFIX):
                used.pop(task_id)
        total_millicores = max(instance.capacity.cpu_millicores, 1)
        return min(sum(used.values()) / total_millicores, 1)


def _kind_of(usage: UsageSample, kinds: Mapping[TaskId, str]) -> str:
    if usage.task_id.startswith(_SERVICE_PREFIX):
        return usage.task_id.removeprefix(_SERVICE_PREFIX)
    return kinds.get(usage.task_id, '')


def _sample(
    usage: UsageSample, kind: str, history: deque[_WorkerSnapshot], now: timedelta
) -> SlowdownSample:
    at = now - timedelta(milliseconds=usage.age_ms)
    snapshot = next(
        (past for past in reversed(history) if past.since <= at), history[0]
    )
    others = Counter(snapshot.kinds)
    others.subtract({kind: 1})
    return SlowdownSample(kind, +others, snapshot.load, max(usage.slowdown, 1), at)


def _new_history() -> deque[_WorkerSnapshot]:
    return deque(maxlen=_MAX_SNAPSHOTS)
