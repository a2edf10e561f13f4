"""All open jobs, and the steps of them that may start."""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable
from datetime import datetime, timedelta
from typing import Final

from chiveworks.base import AccountName, Clock, JobId
from chiveworks.dispatch._duration_model import DurationModel
from chiveworks.dispatch._progress_writer import ProgressWriter
from chiveworks.events import EventLog
from chiveworks.metastore import progress_key
from chiveworks.workflow import (
    Job,
    JobState,
    StepDuration,
    StepRun,
    Submission,
    Task,
    TaskRef,
    TaskState,
    restore_progress,
)

_MIN_AGE: Final = timedelta()
#: Maximum plausible age of a job; a higher age means that a clock is wrong.
_MAX_AGE: Final = timedelta(days=1)


class JobTable:
    """Open jobs by id, and the step runs with waiting tasks.

    Args:
        clock: Source of time.
        log: Event log for the ends of jobs.
        writer: Makes changes of jobs durable.
        stop: Called with each active task of a job that has ended.
        early: How long before its due time an occurrence may start.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        writer: ProgressWriter,
        stop: Callable[[Task, str], None],
        early: timedelta,
    ) -> None:
        self.jobs: dict[JobId, Job] = {}
        self.ready: dict[StepRun, None] = {}
        self._clock = clock
        self._log = log
        self._writer = writer
        self._stop = stop
        self._early = early
        self._due: list[tuple[datetime, JobId, int]] = []
        self._withheld: set[JobId] = set()
        self.durations = DurationModel()

    def add(
        self,
        submission: Submission,
        progress: bytes | None = None,
        age: timedelta | None = None,
    ) -> Job | None:
        """Adds a job, with the progress that an earlier term stored, if any.

        Args:
            submission: The job.
            progress: Stored progress.
            age: Time for which the job waited in earlier terms, if that is known.

        Returns:
            The job; None if its progress cannot be read. It may have runs then, so it
            is withheld in this term unless it is cancelled.
        """
        job = self._restore(submission, progress, age)
        if job is None:
            return None
        self.jobs[job.job_id] = job
        for number in job.occurrences:
            self._add_ready(job.occurrences[number])
        self._schedule(job)
        if submission.cancelled:
            self.cancel(job)
        return job

    def _restore(
        self, submission: Submission, progress: bytes | None, age: timedelta | None
    ) -> Job | None:
        job_id = submission.job_id
        if job_id in self._withheld and not submission.cancelled:
            return None
        try:
            return self._create(submission, progress, age)
        except ValueError as error:
            self._log.write(
                'entry_skipped', key=progress_key(job_id), reason=str(error)
            )
        self._withheld.add(job_id)
        # A cancelled job starts nothing, whatever its progress.
        return self._create(submission, None, age) if submission.cancelled else None

    def _create(
        self, submission: Submission, progress: bytes | None, age: timedelta | None
    ) -> Job:
        # Otherwise, the age is read from the wall clock, and only for jobs with progress
        # stored by an earlier leader. A new submission arrives in less time than the
        # clocks of two processes differ, so its age counts as 0.
        if age is None:
            accepted_at = submission.accepted_at
            age = self._clock.now() - accepted_at if progress else timedelta()
        job = Job(
            submission, self._clock.monotonic() - min(max(age, _MIN_AGE), _MAX_AGE)
        )
        if progress is not None:
            restore_progress(job, progress)
        queue = submission.queue.name
        job.expect(
            [self.durations.predict(queue, step) for step in submission.spec.steps]
        )
        return job

    def cancel(self, job: Job) -> None:
        """Cancels a job on a client's request and stops its active tasks."""
        if not job.state.terminal:
            self._log.write('job_cancelled', job=job.job_id, state=job.state.value)
            self._end(job, JobState.CANCELLED)

    def fail(self, job: Job, task: Task) -> None:
        """Ends a job whose task has failed too often."""
        self._log.write(
            'job_failed',
            task=task.ref[1:],
            failures=task.failures,
            crashes=task.crashes,
            **self._log_fields(job),
        )
        self._end(job, JobState.FAILED)

    def find(self, ref: TaskRef) -> Task | None:
        """Returns a task of an open occurrence."""
        job = self.jobs.get(ref.job_id)
        runs = job.occurrences.get(ref.occurrence) if job else None
        if runs is None or ref.step >= len(runs):
            return None
        tasks = runs[ref.step].tasks
        return tasks[ref.position] if ref.position < len(tasks) else None

    def finish(self, task: Task) -> None:
        """Marks a task as done and offers the steps that are ready as a result."""
        run = task.step_run
        job = run.job
        job.finish(task)
        if run.done:
            self._learn_durations(run)
            self._add_ready(job.refresh_ready(run.occurrence))
        self._close(run)

    def settle(self, task: Task) -> None:
        """Takes note that the run of a task that another run completed has ended."""
        task.worker = None
        self._close(task.step_run)

    def requeue(self, task: Task) -> None:
        """Puts a task back to waiting after its run has certainly ended."""
        task.release()
        task.waiting_since = self._clock.monotonic()
        job = task.step_run.job
        self._writer.mark(job)
        if not job.state.terminal:
            self.ready[task.step_run] = None

    def open_due(self) -> bool:
        """Opens the occurrences that are due; tells whether there were any."""
        limit = self._clock.now() + self._early
        opened = False
        while self._due and self._due[0][0] <= limit:
            _due, job_id, number = heapq.heappop(self._due)
            job = self.jobs.get(job_id)
            if job is not None and not job.state.terminal:
                self._add_ready(job.open_occurrence(number))
                self._schedule(job)
                opened = True
        return opened

    def forget(self, job: Job) -> None:
        """Drops a job whose end is durable and which has no active tasks."""
        self.jobs.pop(job.job_id, None)

    def filling_tasks_wait(self, permits: Callable[[Task], bool]) -> bool:
        """Tells whether filling tasks are waiting for capacity.

        Args:
            permits: Tells whether the limit of a task's account permits it to run.
        """
        return any(
            run.spec.fills
            and (not run.job.account or any(map(permits, run.waiting()[:1])))
            for run in self.ready
        )

    def waiting(self) -> Counter[str]:
        """Returns the number of tasks waiting for a worker, by queue."""
        lengths: Counter[str] = Counter()
        for run in self.ready:
            lengths[run.job.queue.name] += len(run.waiting())
        return lengths

    def waiting_by_account(self) -> Counter[AccountName]:
        """Returns the number of tasks waiting for a worker, by account."""
        lengths: Counter[AccountName] = Counter()
        for run in self.ready:
            if run.job.account:
                lengths[run.job.account] += len(run.waiting())
        return lengths

    def pending(self) -> Counter[str]:
        """Returns the number of open jobs of which no task has begun yet, by queue."""
        return Counter(
            job.queue.name
            for job in self.jobs.values()
            if not job.started and not job.state.terminal
        )

    def _learn_durations(self, run: StepRun) -> None:
        worked = [task.worked for task in run.tasks if task.worked]
        if len(worked) == run.spec.count and not run.spec.long_running:
            typical = sum(worked, timedelta()) / len(worked)
            self.durations.partial_fit(
                run.job.queue.name, run.spec, StepDuration(typical, max(worked))
            )

    def _add_ready(self, runs: Iterable[StepRun]) -> None:
        for run in runs:
            if run.ready and not run.done and not run.job.state.terminal:
                self.ready[run] = None
                for task in run.tasks:
                    task.waiting_since = self._clock.monotonic()

    def _schedule(self, job: Job) -> None:
        if job.all_opened or job.state.terminal:
            return
        recurrence = job.submission.spec.recurrence
        number = job.next_occurrence
        if recurrence is None:
            self._add_ready(job.open_occurrence(number))
        else:
            heapq.heappush(self._due, (recurrence.due(number), job.job_id, number))

    def _close(self, run: StepRun) -> None:
        """Closes the occurrence and the job if nothing of them is left to do."""
        job = run.job
        if run.done and run.occurrence in job.occurrences:
            job.close_occurrence(run.occurrence)
        if job.completed and not job.state.terminal:
            self._log.write('job_completed', **self._log_fields(job))
            self._end(job, JobState.COMPLETED)
        else:
            self._writer.mark(job)

    def _log_fields(self, job: Job) -> dict[str, object]:
        duration = self._clock.monotonic() - job.seen_at
        return {
            'job': job.job_id,
            'queue': job.queue.name,
            'duration_ms': duration // timedelta(milliseconds=1),
            'allowed_ms': (job.deadline - job.seen_at) // timedelta(milliseconds=1),
            'late': self._clock.monotonic() > job.deadline,
        }

    def _end(self, job: Job, state: JobState) -> None:
        job.state = state
        job.ended_at = self._clock.monotonic()
        self._writer.mark(job)
        for runs in job.occurrences.values():
            for run in runs:
                self.ready.pop(run, None)
        for task in job.active_tasks():
            # The stop of one member of a gang may have released the others.
            if task.active and task.state is not TaskState.STOPPING:
                self._stop(task, state.value)
