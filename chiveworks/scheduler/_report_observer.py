"""Interface for observers of workers' reports."""

from collections.abc import Mapping
from typing import Protocol

from chiveworks.base import TaskId
from chiveworks.instances import Instance
from chiveworks.workers import WorkerReport


class ReportObserver(Protocol):
    """Called with each report that a shard owner receives."""

    def __call__(
        self, instance: Instance, report: WorkerReport, kinds: Mapping[TaskId, str], /
    ) -> None:
        """Handles a report.

        Args:
            instance: The worker's instance.
            report: The worker's report.
            kinds: Kinds of the reported tasks that belong to known jobs.
        """
