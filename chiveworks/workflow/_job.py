"""An accepted job that has not ended."""

import enum
from collections.abc import Iterator, Sequence
from datetime import timedelta
from typing import Final

from chiveworks.base import AccountName, JobId
from chiveworks.workflow._job_spec import Submission
from chiveworks.workflow._queue_policy import QueuePolicy
from chiveworks.workflow._step_duration import StepDuration
from chiveworks.workflow._step_run import StepRun
from chiveworks.workflow._step_spec import StepSpec
from chiveworks.workflow._task import Task

#: Multiple of the allowed duration after which a late completion earns no credit
#: on the platform.
EXPIRY_FACTOR: Final = 3
#: Factor by which a task must exceed the expected longest one to change the deadline.
LONGER_FACTOR: Final = 1.1


class JobState(str, enum.Enum):
    """State of a job as reported to clients."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def terminal(self) -> bool:
        """Whether the job has ended."""
        return self in {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}


class Job:
    """Open occurrences and progress of a job.

    Attributes:
        submission: Stored request of the client.
        occurrences: Step runs of the open occurrences, by occurrence number.
        next_occurrence: Number of the next occurrence to open.
        state: State that is reported to clients.
        seen_at: When the scheduler first saw the job.
        version: Number of the latest change to the progress.
        durable_version: Number of the latest change that the store has committed.
        deadline: When the job should be done, by the expected durations.
        expires_at: When a late completion no longer earns credit.
        remaining_work: Expected core-seconds of the tasks that are not done.
        started: Whether a worker is known to have begun any task.
        ended_at: When the scheduler of this term learned of the job's end; None while
            the job is open.
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
        self.ended_at: timedelta | None = None
        self.deadline = seen_at
        self.expires_at = seen_at
        self.remaining_work = float(0)
        self._critical_paths: list[timedelta] = []
        self._remote_paths: tuple[float, list[timedelta]] = (1.0, [])
        self._durations = [
            StepDuration(step.estimate, step.estimate) for step in submission.spec.steps
        ]
        self._apply_durations(
            [step.count * self.occurrence_count for step in submission.spec.steps]
        )

    def expect(self, durations: Sequence[StepDuration]) -> None:
        """Replaces the declared durations of the steps by expected ones."""
        self._durations = list(durations)
        self._apply_durations(self._tasks_left())

    def observe_longest(self, step: int, longest: timedelta) -> None:
        """Takes note that a task of a step takes longer than all others so far.

        The allowed duration of a job follows its longest chain of work, so the job has
        more time for its other tasks as well.
        """
        expected = self._durations[step]
        if longest > LONGER_FACTOR * expected.longest:
            self._durations[step] = StepDuration(expected.typical, longest)
            self._apply_durations(self._tasks_left())

    def can_meet_deadline(self, step: int, now: timedelta) -> bool:
        """Whether the job can still meet its deadline if the step starts now."""
        return now + self._critical_paths[step] <= self.deadline

    def latest_start(self, step: int, remote_factor: float) -> timedelta:
        """Returns when a step must start so that the job can meet its deadline remotely.

        Args:
            step: Index of the step.
            remote_factor: Factor on the declared durations of the steps that have a data
                rack or are tightly coupled.
        """
        if self._remote_paths[0] != remote_factor:
            paths = _critical_paths(
                self.submission.spec.steps, self._durations, remote_factor
            )
            self._remote_paths = (remote_factor, paths)
        return self.deadline - self._remote_paths[1][step]

    def finish(self, task: Task) -> None:
        """Records that a task is done; if it belongs to a gang, the whole gang."""
        run = task.step_run
        before = run.done_count
        run.finish(task)
        self.remaining_work -= (run.done_count - before) * _core_seconds(
            run.spec, self._durations[run.step]
        )

    @property
    def job_id(self) -> JobId:
        """Id chosen by the client."""
        return self.submission.job_id

    @property
    def queue(self) -> QueuePolicy:
        """Policy of the queue at the time of acceptance."""
        return self.submission.queue

    @property
    def account(self) -> AccountName:
        """Client account that submitted the job; empty if it has none."""
        return self.submission.account

    @property
    def account_fields(self) -> dict[str, object]:
        """Fields of a log line that name the account, if there is one."""
        return {'account': self.account} if self.account else {}

    @property
    def occurrence_count(self) -> int:
        """Total number of times that the steps run."""
        recurrence = self.submission.spec.recurrence
        return recurrence.count if recurrence else 1

    @property
    def all_opened(self) -> bool:
        """Whether all occurrences have been opened."""
        return self.next_occurrence >= self.occurrence_count

    def open_occurrence(self, number: int) -> tuple[StepRun, ...]:
        """Creates the step runs of an occurrence; those without `after` are ready."""
        runs = tuple(
            StepRun(self, number, step)
            for step in range(len(self.submission.spec.steps))
        )
        self.occurrences[number] = runs
        self.next_occurrence = max(self.next_occurrence, number + 1)
        self.refresh_ready(number)
        return runs

    def refresh_ready(self, number: int) -> list[StepRun]:
        """Marks step runs whose dependencies are done; returns the newly ready ones."""
        runs = self.occurrences[number]
        newly_ready = [
            run
            for run in runs
            if not run.ready and all(runs[earlier].done for earlier in run.spec.after)
        ]
        for run in newly_ready:
            run.ready = True
        return newly_ready

    def close_occurrence(self, number: int) -> bool:
        """Removes an occurrence if all its steps are done.

        Runs of done tasks that count towards the limit of an account must have ended
        as well, so that the stored progress names them until then.

        Returns:
            Whether the occurrence was removed.
        """
        runs = self.occurrences[number]
        if not all(run.done for run in runs):
            return False
        if self.account and any(task.lingers for run in runs for task in run.tasks):
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

    def _tasks_left(self) -> list[int]:
        """Returns the number of tasks of each step that are not done."""
        unopened = self.occurrence_count - self.next_occurrence
        left = [step.count * unopened for step in self.submission.spec.steps]
        for runs in self.occurrences.values():
            for run in runs:
                left[run.step] += run.spec.count - run.done_count
        return left

    def _apply_durations(self, tasks_left: Sequence[int]) -> None:
        steps, queue = self.submission.spec.steps, self.queue
        self._critical_paths = _critical_paths(steps, self._durations)
        self._remote_paths = (1.0, self._critical_paths)
        allowed = queue.stretch * max(self._critical_paths) + queue.latency_objective
        self.deadline = self.seen_at + allowed
        self.expires_at = self.seen_at + EXPIRY_FACTOR * allowed
        self.remaining_work = sum(
            count * _core_seconds(step, duration)
            for count, step, duration in zip(
                tasks_left, steps, self._durations, strict=True
            )
        )

    def active_tasks(self) -> list[Task]:
        """Returns the tasks that occupy capacity on a worker."""
        return [task for task in self.tasks() if task.active or task.lingers]


def _critical_paths(
    steps: Sequence[StepSpec],
    durations: Sequence[StepDuration],
    remote_factor: float = 1.0,
) -> list[timedelta]:
    """Returns for each step the expected time on its critical path to the job's end."""
    longest = [
        duration.longest * remote_factor
        if remote_factor > 1 and (step.data_rack or step.tightly_coupled)
        else duration.longest
        for step, duration in zip(steps, durations, strict=True)
    ]
    critical_paths = longest.copy()
    for later in reversed(range(len(steps))):
        for earlier in steps[later].after:
            path_length = longest[earlier] + critical_paths[later]
            critical_paths[earlier] = max(critical_paths[earlier], path_length)
    return critical_paths


def _core_seconds(step: StepSpec, duration: StepDuration) -> float:
    """Returns the expected core-seconds of one task of a step."""
    return step.demand.cpu_millicores / 1000 * duration.typical.total_seconds()
