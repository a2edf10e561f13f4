"""Feeds the size estimator from workers' reports."""

from collections.abc import Mapping
from datetime import timedelta

from chiveworks.base import Resources, TaskId
from chiveworks.instances import Instance
from chiveworks.placement._size_estimator import SizeEstimator
from chiveworks.placement._size_sample import SizeSample
from chiveworks.workers import WorkerReport

#: The catalogue declares no run times; ratios are to this unit.
_UNIT = timedelta(seconds=1)


class SizeLearner:
    """Keeps the greatest use of each running task until the task has ended."""

    def __init__(self, estimator: SizeEstimator) -> None:
        self._estimator = estimator
        self._greatest: dict[TaskId, Resources] = {}

    def observe(
        self, _instance: Instance, report: WorkerReport, kinds: Mapping[TaskId, str]
    ) -> None:
        """Learns from a report."""
        for usage in report.usage:
            if usage.task_id in kinds:
                known = self._greatest.get(usage.task_id, usage.used)
                self._greatest[usage.task_id] = known.maximum(usage.used)
        for task in report.tasks:
            used = self._greatest.get(task.task_id)
            if task.state.ended and used is not None and task.task_id in kinds:
                self._greatest.pop(task.task_id)
                sample = SizeSample(kinds[task.task_id], used, _UNIT, _UNIT)
                self._estimator.partial_fit((sample,))
