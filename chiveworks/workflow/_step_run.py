"""Execution of one step in one occurrence of a job."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from chiveworks.workflow._step_spec import StepSpec
from chiveworks.workflow._task import Task, TaskRef, TaskState

if TYPE_CHECKING:
    from chiveworks.workflow._job import Job


class StepRun:
    """Tasks of one step in one occurrence of a job.

    Attributes:
        job: Job that the step belongs to.
        occurrence: Number of the occurrence, from 0.
        step: Index of the step in the job.
        spec: Requirements and behaviour of the tasks.
        tasks: Tasks by position.
        ready: Whether all steps that this one depends on are done.
        done_count: Number of tasks that are done.
    """

    __slots__ = ('done_count', 'job', 'occurrence', 'ready', 'spec', 'step', 'tasks')

    def __init__(self, job: Job, occurrence: int, step: int) -> None:
        self.job = job
        self.occurrence = occurrence
        self.step = step
        self.spec: StepSpec = job.submission.spec.steps[step]
        self.ready = False
        self.done_count = 0
        self.tasks = tuple(
            Task(TaskRef(job.job_id, occurrence, step, position), self)
            for position in range(self.spec.count)
        )

    @property
    def done(self) -> bool:
        """Whether every task is done."""
        return self.done_count == len(self.tasks)

    def waiting(self) -> list[Task]:
        """Returns the tasks that have no worker yet."""
        return [task for task in self.tasks if task.state is TaskState.WAITING]

    @property
    def interrupted_at(self) -> timedelta | None:
        """When the first of the waiting tasks that have run before began to wait.

        None if there is no such task, or if the step is not a lasting one.
        """
        if not self.spec.long_running:
            return None
        interrupted = (
            task.waiting_since
            for task in self.tasks
            if task.attempt and task.state is TaskState.WAITING
        )
        return min(interrupted, default=None)

    def next_attempt(self, task: Task) -> int:
        """Returns the attempt number of a task's next run.

        All members of a gang run under the same attempt number.
        """
        if not self.spec.gang:
            return task.attempt + 1
        unsent_attempts = [
            member.attempt
            for member in self.tasks
            if member.state is TaskState.CLAIMED and not member.sent
        ]
        highest = max(member.attempt for member in self.tasks)
        return max(unsent_attempts, default=highest + 1)

    def share_checkpoint(self) -> None:
        """Gives all members of a gang the same checkpoint."""
        checkpoints = (member.checkpoint for member in self.tasks if member.checkpoint)
        shared = next(checkpoints, '')
        for member in self.tasks:
            member.checkpoint = shared

    @property
    def failures(self) -> int:
        """Number of failed runs of all tasks.

        A failed run of a gang counts once, since only one member is reported failed.
        """
        return sum(task.failures for task in self.tasks)

    def finish(self, task: Task) -> None:
        """Records that a task is done; the first done member completes its gang."""
        members = self.tasks if self.spec.gang else (task,)
        for member in members:
            if member.state is not TaskState.DONE:
                member.state = TaskState.DONE
                self.done_count += 1
