"""A job that was accepted and has not come to its end."""

import enum
from collections.abc import Iterator, Sequence
from datetime import timedelta
from typing import Final

from chiveworks.base import JobId
from chiveworks.workflow._job_spec import Submission
from chiveworks.workflow._queue_policy import QueuePolicy
from chiveworks.workflow._step_run import StepRun
from chiveworks.workflow._step_spec import StepSpec
from chiveworks.workflow._task import Task


#: Multiple of the allowed time up to which a late end is worth something (the
#: platform's rule on credit).
LATE_FACTOR: Final = 3


class JobState(str, enum.Enum):
    """What clients are told about a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def terminal(self) -> bool:
        """Whether the job has come to its end."""
        return self in {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}


class Job:
    """Occurrences of a job, and which of its records are durable.

    Attributes:
        submission: What the client asked for.
        occurrences: Open occurrences by number, each a list of step runs.
        next_occurrence: Number of the next occurrence that is not open yet.
        state: What clients are told.
        seen_at: When the scheduler learned of the job.
        version: Number of the latest change of the progress.
        durable_version: Number of the latest change that the store holds.
        deadline: When the job should be done, by its declared durations.
        expires_at: When even a late end is worth nothing any more.
        remaining_work: Declared core-seconds of the tasks that are not done.
        started: Whether any task has ever been claimed.
    """

    def __init__(self, submission: Submission, seen_at: timedelta) -> None:
        self.submission = submission
        self.seen_at = seen_at
        self.occurrences: dict[int, tuple[StepRun, ...]] = {}
        self.next_occurrence = 0
        self.state = JobState.QUEUED
        self.version = 0
        self.durable_version = 0
        self.started = False
        chains = _chains(submission.spec.steps)
        queue = submission.queue
        allowed = queue.stretch * max(chains) + queue.latency_objective
        self.deadline = seen_at + allowed
        self.expires_at = seen_at + LATE_FACTOR * allowed
        self.remaining_work = sum(
            step.count * _work(step) for step in submission.spec.steps
        )
        self._chains = chains

    def can_meet_deadline(self, step: int, now: timedelta) -> bool:
        """Whether the job can meet its deadline if a step starts now."""
        return now + self._chains[step] <= self.deadline

    def finish(self, task: Task) -> None:
        """Records that a task is done, and a gang with it."""
        run = task.step_run
        before = run.done_count
        run.finish(task)
        self.remaining_work -= (run.done_count - before) * _work(run.spec)

    @property
    def job_id(self) -> JobId:
        """Id that the client chose."""
        return self.submission.job_id

    @property
    def queue(self) -> QueuePolicy:
        """Policy of the queue at the time of acceptance."""
        return self.submission.queue

    @property
    def occurrence_count(self) -> int:
        """Number of times that the steps run in all."""
        recurrence = self.submission.spec.recurrence
        return recurrence.count if recurrence else 1

    @property
    def all_opened(self) -> bool:
        """Whether no further occurrence will be opened."""
        return self.next_occurrence >= self.occurrence_count

    def open_occurrence(self, number: int) -> tuple[StepRun, ...]:
        """Creates the step runs of an occurrence; steps without `after` are ready."""
        runs = tuple(
            StepRun(self, number, step)
            for step in range(len(self.submission.spec.steps))
        )
        self.occurrences[number] = runs
        self.next_occurrence = max(self.next_occurrence, number + 1)
        self.refresh_ready(number)
        return runs

    def refresh_ready(self, number: int) -> list[StepRun]:
        """Marks the step runs whose earlier steps are done; returns the new ones."""
        runs = self.occurrences[number]
        fresh = [
            run
            for run in runs
            if not run.ready and all(runs[earlier].done for earlier in run.spec.after)
        ]
        for run in fresh:
            run.ready = True
        return fresh

    def close_occurrence(self, number: int) -> bool:
        """Drops an occurrence if all its steps are done; tells whether it did."""
        if not all(run.done for run in self.occurrences[number]):
            return False
        self.occurrences.pop(number)
        return True

    @property
    def completed(self) -> bool:
        """Whether every task of every occurrence is done."""
        return self.all_opened and not self.occurrences

    def tasks(self) -> Iterator[Task]:
        """Yields the tasks of all open occurrences."""
        for runs in self.occurrences.values():
            for run in runs:
                yield from run.tasks

    def active_tasks(self) -> list[Task]:
        """Returns the tasks that hold room on a worker."""
        return [task for task in self.tasks() if task.active]


def _chains(steps: Sequence[StepSpec]) -> list[timedelta]:
    """Returns for each step the longest declared time from its start to the end."""
    chains = [step.estimate for step in steps]
    for later in reversed(range(len(steps))):
        for earlier in steps[later].after:
            through = steps[earlier].estimate + chains[later]
            chains[earlier] = max(chains[earlier], through)
    return chains


def _work(step: StepSpec) -> float:
    """Returns the declared core-seconds of one task of a step."""
    return step.demand.cpu_millicores / 1000 * step.estimate.total_seconds()
