"""Trains the size estimator with worker reports."""

from collections.abc import Mapping
from datetime import timedelta

from chiveworks.base import Resources, TaskId
from chiveworks.instances import Instance
from chiveworks.placement._size_estimator import SizeEstimator
from chiveworks.placement._size_sample import SizeSample
from chiveworks.workers import WorkerReport

#: Used as declared and measured run time, because the catalogue declares none.
_UNIT_RUN_TIME = timedelta(seconds=1)


class SizeLearner:
    """Tracks the peak usage of each task and adds a sample when it ends."""

    def __init__(self, estimator: SizeEstimator) -> None:
        self._estimator = estimator
        self._peak_usage: dict[TaskId, Resources] = {}

    def observe(
        self, _instance: Instance, report: WorkerReport, kinds: Mapping[TaskId, str]
    ) -> None:
        """Updates the estimator from a worker report."""
        for usage in report.usage:
            if usage.task_id in kinds:
                peak = self._peak_usage.get(usage.task_id, usage.used)
                self._peak_usage[usage.task_id] = peak.maximum(usage.used)
        for task in report.tasks:
            used = self._peak_usage.get(task.task_id)
            if task.state.ended and used is not None and task.task_id in kinds:
                self._peak_usage.pop(task.task_id)
                sample = SizeSample(
                    kinds[task.task_id], used, _UNIT_RUN_TIME, _UNIT_RUN_TIME
                )
                self._estimator.partial_fit((sample,))
