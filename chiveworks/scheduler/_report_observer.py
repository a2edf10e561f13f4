"""Receiver of workers' reports, for learning."""

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
        """Takes a report; `kinds` maps the listed tasks of known jobs."""
