"""The tasks of one step of one occurrence."""

from __future__ import annotations

from typing import TYPE_CHECKING

from chiveworks.workflow._step_spec import StepSpec
from chiveworks.workflow._task import Task, TaskRef, TaskState

if TYPE_CHECKING:
    from chiveworks.workflow._job import Job


class StepRun:
    """Tasks of a step; `ready` once all earlier steps are done.

    Attributes:
        job: Job that the step belongs to.
        spec: What the tasks need.
        tasks: Tasks by index.
        ready: Whether the tasks may start.
        done_count: Tasks that are done.
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
            Task(TaskRef(job.job_id, occurrence, step, index), self)
            for index in range(self.spec.count)
        )

    @property
    def done(self) -> bool:
        """Whether every task is done."""
        return self.done_count == len(self.tasks)

    def waiting(self) -> list[Task]:
        """Returns the tasks that a worker is to be found for."""
        return [task for task in self.tasks if task.state is TaskState.WAITING]

    def next_attempt(self, task: Task) -> int:
        """Returns the number of a task's next run; members of a gang share it."""
        if not self.spec.gang:
            return task.attempt + 1
        open_claims = [
            member.attempt
            for member in self.tasks
            if member.state is TaskState.CLAIMED and not member.sent
        ]
        highest = max(member.attempt for member in self.tasks)
        return max(open_claims, default=highest + 1)

    def share_checkpoint(self) -> None:
        """Gives all members of a gang the same checkpoint."""
        known = (member.checkpoint for member in self.tasks if member.checkpoint)
        shared = next(known, '')
        for member in self.tasks:
            member.checkpoint = shared

    @property
    def failures(self) -> int:
        """Failed runs of all tasks; of a gang, each ends with one failed member."""
        return sum(task.failures for task in self.tasks)

    def finish(self, task: Task) -> None:
        """Records that a task is done; a gang is done with its first member."""
        members = self.tasks if self.spec.gang else (task,)
        for member in members:
            if member.state is not TaskState.DONE:
                member.state = TaskState.DONE
                self.done_count += 1
