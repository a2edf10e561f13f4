"""Applies the reports of workers to the tasks that they run."""

from collections.abc import Callable, Sequence
from datetime import timedelta

from chiveworks.base import Clock
from chiveworks.dispatch._crash_suspicion import (
    CrashSuspicion,
    is_given_up,
    is_of_earlier_life,
)
from chiveworks.dispatch._health import WorkerHealth
from chiveworks.dispatch._job_table import JobTable
from chiveworks.dispatch._probation import has_survived
from chiveworks.dispatch._progress_writer import ProgressWriter
from chiveworks.dispatch._worker_control import EndKind, EndRow, RunRow, WorkerReport
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.workflow import LapsedRun, Task, TaskRef, TaskState

#: Maximum number of ended runs in a report. A report with fewer lists all of them.
END_PAGE_SIZE = 500


#: Progress from which the duration of a run is projected from it.
MIN_PROJECTED_PERCENT = 20


class RunTracker:
    """Reconciles the runs that workers list with the claims of the scheduler.

    Args:
        clock: Source of time.
        log: Event log for ended and lost runs.
        table: Open jobs.
        writer: Makes changes durable.
        health: Quarantines workers on which runs fail.
        suspicion: Counts lost workers against the tasks that may have crashed them.
        changed: Called when capacity or tasks may have become available.
        stop: Called with a task whose run must be stopped.
        withdraw: Called with a listed run that does not match a claim.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        table: JobTable,
        writer: ProgressWriter,
        health: WorkerHealth,
        suspicion: CrashSuspicion,
        changed: Callable[[], None],
        stop: Callable[[Task, str], None],
        withdraw: Callable[[WorkerView, TaskRef, int], None],
    ) -> None:
        self._clock = clock
        self._log = log
        self._table = table
        self._writer = writer
        self._health = health
        self._changed = changed
        self._stop = stop
        self._withdraw = withdraw
        self._suspicion = suspicion

    def apply(
        self, worker: WorkerView, report: WorkerReport, polled_at: timedelta
    ) -> None:
        """Applies the report in response to a poll that was sent at `polled_at`."""
        listed = self._apply_running(worker, report.running)
        for end in report.ended:
            if end.number > worker.applied_end:
                self._apply_end(worker, end)
        if len(report.ended) < END_PAGE_SIZE:
            self._release_missing(worker, listed, polled_at)

    def release_all(self, worker: WorkerView, reason: str) -> None:
        """Releases all runs of a worker that certainly runs none of them any more."""
        for task in tuple(worker.tasks.values()):
            self.release(worker, task, reason)

    def record_crash(self, worker: WorkerView, lost: Sequence[Task]) -> None:
        """Counts the crash of a worker against the tasks that may have caused it.

        Call it before the lost runs are released.
        """
        suspects = self._suspicion.record_crash(worker, lost)
        self._note_suspects([task for task in suspects if task not in lost])

    def record_lapse(self, worker: WorkerView) -> None:
        """Takes note that the lease of a worker has lapsed under its runs.

        Call it before the lost runs are released.
        """
        self._suspicion.record_lapse(worker, tuple(worker.tasks.values()))

    def record_return(self, worker: WorkerView, born_ms: int) -> None:
        """Takes note that an incarnation of a silent worker responds."""
        self._note_suspects(self._suspicion.record_return(worker, born_ms))

    def resume_lapse(self, lapsed: LapsedRun, task: Task) -> None:
        """Goes on with a suspicion that an earlier leader has stored."""
        self._suspicion.resume(lapsed, task)

    def may_have_crashed(self, worker: WorkerView) -> bool:
        """Whether the lease of a worker has lapsed under runs that may have crashed it."""
        return self._suspicion.is_unresolved(worker)

    def release_orphans(self, tasks: Sequence[Task]) -> None:
        """Releases runs of an earlier term whose workers' leases have just lapsed."""
        for task in tasks:
            # An earlier run may have completed the task.
            if task.active:
                self._log_lost(task, 'the worker of an earlier term is gone')
                self._table.requeue(task)
            elif task.lingers:
                self._table.settle(task)

    def release(self, worker: WorkerView, task: Task, reason: str) -> None:
        """Releases one run that certainly ended without a report, or never started."""
        self._log_lost(task, reason)
        worker.remove(task)
        if task.active:
            self._table.requeue(task)
            self._give_up_if_exhausted(task)
        elif task.lingers:
            self._table.settle(task)
        self._changed()

    def _log_lost(self, task: Task, reason: str) -> None:
        self._log.write(
            'run_lost',
            job=task.ref.job_id,
            task=task.ref[1:],
            attempt=task.attempt,
            worker=task.worker,
            queue=task.step_run.job.queue.name,
            reason=reason,
        )

    def _apply_running(
        self, worker: WorkerView, rows: Sequence[RunRow]
    ) -> set[TaskRef]:
        now = self._clock.monotonic()
        listed = set()
        for row in rows:
            task = worker.tasks.get(row.ref)
            if task is None or task.attempt != row.attempt:
                self._withdraw(worker, row.ref, row.attempt)
                continue
            listed.add(row.ref)
            _update(task, row, now)
            if task.crashes and has_survived(worker, task):
                task.crashes = 0
                self._writer.mark(task.step_run.job)
            reason = _reason_to_stop(task)
            if reason:
                self._stop(task, reason)
        return listed

    def _apply_end(self, worker: WorkerView, end: EndRow) -> None:
        worker.applied_end = end.number
        task = self._table.find(end.ref)
        job = None
        if task is not None:
            job = task.step_run.job
            job.started = True
            self._end_run(worker, task, end)
        version = job.version if job else 0
        worker.unacknowledged.append((end.number, job, version))

    def _end_run(self, worker: WorkerView, task: Task, end: EndRow) -> None:
        current = task.attempt == end.attempt and task.worker == worker.worker_id
        if current:
            worker.remove(task)
        self._log.write(
            'run_ended',
            job=task.ref.job_id,
            task=task.ref[1:],
            attempt=end.attempt,
            worker=worker.worker_id,
            queue=task.step_run.job.queue.name,
            how=end.kind.value,
            current=current,
        )
        if current and end.kind is EndKind.DONE:
            task.count_work(self._clock.monotonic())
        if task.state is not TaskState.DONE:
            self._end_open(worker, task, end, current=current)
        elif current and task.lingers:
            self._table.settle(task)
        self._changed()

    def _end_open(
        self, worker: WorkerView, task: Task, end: EndRow, *, current: bool
    ) -> None:
        """Applies the end of a run of a task that is not done yet."""
        if end.kind is EndKind.DONE:
            if current:
                # The run has ended, so it does not linger.
                task.worker = None
            self._finish(worker, task, current=current)
        elif current:
            self._end_unfinished(worker, task, end)

    def _finish(self, worker: WorkerView, task: Task, *, current: bool) -> None:
        self._health.record_done(worker, task, current=current)
        if not current and task.active:
            # The lease of this run lapsed and another run was started. The result of
            # this one counts, so the other run is stopped.
            self._stop(task, 'an earlier run has completed the task')
        self._table.finish(task)

    def _end_unfinished(self, worker: WorkerView, task: Task, end: EndRow) -> None:
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        self._table.requeue(task)
        if end.kind is EndKind.FAILED:
            task.failures += 1
            self._health.record_failure(worker, task)
            self._give_up_if_exhausted(task)

    def _note_suspects(self, suspects: Sequence[Task]) -> None:
        """Stores the crashes that count against tasks whose runs were released before."""
        for task in suspects:
            self._writer.mark(task.step_run.job)
            self._give_up_if_exhausted(task)

    def _give_up_if_exhausted(self, task: Task) -> None:
        if self._exhausted(task):
            self._table.fail(task.step_run.job, task)

    def _exhausted(self, task: Task) -> bool:
        job = task.step_run.job
        if job.state.terminal:
            return False
        if is_given_up(task):
            return True
        if task.spec.long_running:
            return False
        run = task.step_run
        failures = run.failures if run.spec.gang else task.failures
        return failures >= job.queue.attempt_limit

    def _release_missing(
        self, worker: WorkerView, listed: set[TaskRef], polled_at: timedelta
    ) -> None:
        missing = [
            task
            for ref, task in worker.tasks.items()
            if ref not in listed and _must_be_listed(task, polled_at)
        ]
        crashed = [task for task in missing if is_of_earlier_life(task, worker)]
        if crashed:
            self._suspicion.record_crash(worker, crashed)
        for task in missing:
            self.release(worker, task, 'not listed by the worker')


def _reason_to_stop(task: Task) -> str:
    """Returns why a run that a worker lists must be stopped; empty if it may go on.

    A task may count as stopping although no stop is under way: the leader that decided
    on the stop has been replaced, or the worker accepted the stop without effect.
    """
    if task.state is TaskState.STOPPING:
        return 'an earlier stop has not ended the run'
    if task.state is TaskState.DONE or task.step_run.job.state.terminal:
        return 'the job or task has ended'
    return ''


def _update(task: Task, row: RunRow, now: timedelta) -> None:
    task.step_run.job.started = True
    if task.state is TaskState.CLAIMED:
        task.state = TaskState.RUNNING
    if task.started_at is None:
        task.started_at = now
        task.progressed_at = now
    task.count_work(now)
    if row.percent >= MIN_PROJECTED_PERCENT and not task.spec.long_running:
        # The whole duration, if the rest takes as long as the part that is done.
        task.step_run.job.observe_longest(
            task.step_run.step, task.worked * 100 / row.percent
        )
    if row.checkpoint:
        task.checkpoint = row.checkpoint
    if row.percent != task.progress_percent:
        task.progress_percent = row.percent
        task.progressed_at = now
    task.measured = row.measured


def _must_be_listed(task: Task, polled_at: timedelta) -> bool:
    """Whether a poll sent at `polled_at` must list the run if it still exists."""
    return task.started_at is not None and task.started_at < polled_at
