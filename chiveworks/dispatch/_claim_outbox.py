"""Holds claims back until they are durable."""

from collections.abc import Callable

from chiveworks.base import JobId
from chiveworks.dispatch._progress_writer import ProgressWriter
from chiveworks.workflow import Job, JobState, Task, TaskState


class ClaimOutbox:
    """Claims whose starts may be sent once the store has them.

    Args:
        writer: Makes the claims durable.
        start: Called with each task whose claim is durable and still holds.
    """

    def __init__(self, writer: ProgressWriter, start: Callable[[Task], None]) -> None:
        self._writer = writer
        self._start = start
        self._unsent: dict[JobId, list[Task]] = {}

    def add(self, task: Task) -> None:
        """Has a new claim written."""
        job = task.step_run.job
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
        self._writer.mark(job)
        task.claim_version = job.version
        self._unsent.setdefault(job.job_id, []).append(task)

    def send(self, job: Job) -> None:
        """Starts the tasks of a job whose claims have become durable."""
        for task in self._unsent.pop(job.job_id, []):
            if task.state is not TaskState.CLAIMED or task.sent:
                continue
            if task.claim_version <= job.durable_version:
                self._start(task)
            else:
                self._unsent.setdefault(job.job_id, []).append(task)
