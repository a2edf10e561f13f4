"""Compares a worker's report with the shard's table."""

from datetime import datetime

from chiveworks.base import TaskId, WorkerId
from chiveworks.jobs import (
    OverrideClosed,
    OverrideNoted,
    TaskMoved,
    TaskRecord,
    TaskResized,
    TaskTable,
)
from chiveworks.membership import OverrideKind, TaskState
from chiveworks.scheduler import _attempt_end as attempt_end
from chiveworks.scheduler._override_records import (
    create_override_record,
    is_resized,
    override_id_of,
)
from chiveworks.scheduler._reconciliation import Reconciliation
from chiveworks.scheduler._start_phase import StartPhase
from chiveworks.scheduler._tracked_start import TrackedStart
from chiveworks.workers import ReportedState, TaskReport, WorkerReport


class Reconciler:
    """Derives ended attempts, lost claims and manual overrides from reports."""

    def __init__(self, table: TaskTable, ticket_max_age_ms: int) -> None:
        self._table = table
        self._ticket_max_age_ms = ticket_max_age_ms

    def reconcile(
        self,
        report: WorkerReport,
        starts: dict[TaskId, TrackedStart],
        now: datetime,
    ) -> Reconciliation:
        """Compares a report with the table.

        Args:
            report: The worker's report.
            starts: Tracked starts of this owner on the worker.
            now: Current time in UTC, recorded as the time at which new overrides were
                first detected.
        """
        outcome = Reconciliation()
        for task_report in report.tasks:
            self._reconcile_task(report, task_report, now, outcome)
        listed = {one.task_id for one in report.tasks}
        for task in self._table.active_on(report.worker):
            if task.task_id not in listed:
                self._reconcile_missing_task(
                    report, task, starts.get(task.task_id), outcome
                )
        self._close_ended_overrides(report, outcome)
        outcome.gone.extend(
            task_id
            for task_id, start in starts.items()
            if self._is_settled(report.worker, task_id, start)
        )
        return outcome

    def _is_settled(
        self, worker: WorkerId, task_id: TaskId, start: TrackedStart
    ) -> bool:
        """Returns whether the attempt of a tracked start has ended or moved away."""
        task = self._table.tasks.get(task_id)
        if task is None or not task.is_active:
            return True
        return task.worker != worker or task.attempt != start.attempt

    def _reconcile_task(
        self,
        report: WorkerReport,
        task_report: TaskReport,
        now: datetime,
        outcome: Reconciliation,
    ) -> None:
        task = self._table.tasks.get(task_report.task_id)
        if task is None:
            self._reconcile_unknown_task(report, task_report, now, outcome)
        elif self._is_ended_attempt(task, task_report):
            _reconcile_ended_attempt(task_report, outcome)
        elif task.worker != report.worker or not task.is_active:
            self._reconcile_moved_task(report, task, task_report, now, outcome)
        elif task_report.state.ended:
            self._record_end(report, task, task_report, now, outcome)
        else:
            self._record_running(report, task, task_report, now, outcome)

    def _is_ended_attempt(self, task: TaskRecord, task_report: TaskReport) -> bool:
        """Returns whether the table counts the reported attempt as ended.

        The attempt of a held task counts as current: when a task is moved by hand,
        its former worker may report the stop before the new worker reports that
        the task runs.
        """
        if task.attempt != task_report.attempt:
            return True
        return not task.is_active and task.state is not TaskState.HELD

    def _record_end(
        self,
        report: WorkerReport,
        task: TaskRecord,
        task_report: TaskReport,
        now: datetime,
        outcome: Reconciliation,
    ) -> None:
        job = self._table.job_of(task.task_id)
        ended = attempt_end.reported(job, task, task_report)
        outcome.changes.append(ended)
        if ended.state is TaskState.HELD:
            override = create_override_record(
                OverrideKind.STOPPED, report.worker, task_report, job, now
            )
            outcome.changes.append(OverrideNoted(override))
        outcome.acknowledge.append((task.task_id, task.attempt))
        outcome.gone.append(task.task_id)

    def _record_running(
        self,
        report: WorkerReport,
        task: TaskRecord,
        task_report: TaskReport,
        now: datetime,
        outcome: Reconciliation,
    ) -> None:
        if task.state is TaskState.CLAIMED:
            task.state = TaskState.RUNNING
        if task_report.checkpoint:
            task.checkpoint = task_report.checkpoint
        if self._table.job_of(task.task_id).cancelled:
            outcome.cancelled.append(task)
        if is_resized(task, task_report):
            self._record_size(report, task, task_report, now, outcome)

    def _record_size(
        self,
        report: WorkerReport,
        task: TaskRecord,
        task_report: TaskReport,
        now: datetime,
        outcome: Reconciliation,
    ) -> None:
        """Reserves the reported size.

        A size other than the declared one is noted as an override.
        """
        kind = OverrideKind.RESIZED
        job = self._table.job_of(task.task_id)
        outcome.changes.append(TaskResized(task.task_id, task_report.allotted))
        if task_report.allotted == job.spec.resources:
            override_id = override_id_of(kind, task_report)
            if override_id in self._table.overrides:
                outcome.changes.append(OverrideClosed(override_id))
            return
        since = self._since(kind, task_report, now)
        override = create_override_record(kind, report.worker, task_report, job, since)
        outcome.changes.append(OverrideNoted(override))

    def _since(
        self, kind: OverrideKind, task_report: TaskReport, now: datetime
    ) -> datetime:
        """Returns when the override was first detected."""
        noted = self._table.overrides.get(override_id_of(kind, task_report))
        return noted.since if noted else now

    def _reconcile_unknown_task(
        self,
        report: WorkerReport,
        task_report: TaskReport,
        now: datetime,
        outcome: Reconciliation,
    ) -> None:
        if task_report.state.ended:
            outcome.acknowledge.append((task_report.task_id, task_report.attempt))
            return
        override_id = override_id_of(OverrideKind.UNCLAIMED, task_report)
        noted = self._table.overrides.get(override_id)
        if noted is None or noted.allotted != task_report.allotted:
            kind = OverrideKind.UNCLAIMED
            since = self._since(kind, task_report, now)
            override = create_override_record(
                kind, report.worker, task_report, None, since
            )
            outcome.changes.append(OverrideNoted(override))

    def _reconcile_moved_task(
        self,
        report: WorkerReport,
        task: TaskRecord,
        task_report: TaskReport,
        now: datetime,
        outcome: Reconciliation,
    ) -> None:
        """Handles a current attempt that is held, or claimed on another worker."""
        if task_report.state.ended:
            outcome.acknowledge.append((task.task_id, task.attempt))
            return
        moved_id = override_id_of(OverrideKind.MOVED, task_report)
        if task.is_active and moved_id in self._table.overrides:
            # The task was already moved and another worker still runs a copy, which
            # has to be stopped.
            outcome.stale.append((task.task_id, task.attempt))
            return
        job = self._table.job_of(task.task_id)
        # If the stop on the former worker was detected first, the move began then.
        since = self._since(OverrideKind.STOPPED, task_report, now)
        override = create_override_record(
            OverrideKind.MOVED, report.worker, task_report, job, since
        )
        stopped_id = override_id_of(OverrideKind.STOPPED, task_report)
        if stopped_id in self._table.overrides:
            outcome.changes.append(OverrideClosed(stopped_id))
        # Recorded before the size is compared, because the reservation moves to the
        # new worker with the task.
        outcome.changes.append(TaskMoved(task.task_id, report.worker, report.boot_id))
        outcome.changes.append(OverrideNoted(override))
        if is_resized(task, task_report):
            self._record_size(report, task, task_report, now, outcome)

    def _reconcile_missing_task(
        self,
        report: WorkerReport,
        task: TaskRecord,
        start: TrackedStart | None,
        outcome: Reconciliation,
    ) -> None:
        """Handles a claimed task that is missing from the worker's report."""
        job = self._table.job_of(task.task_id)
        if start is not None and start.attempt != task.attempt:
            start = None
        if start is not None and self._may_still_start(report, start):
            return
        if report.boot_id != task.boot_id:
            reason = f'worker {report.worker} restarted'
            outcome.changes.append(attempt_end.lost(job, task, reason))
        elif start is not None and start.phase is StartPhase.CONFIRMED:
            reason = f'worker {report.worker} no longer lists the task'
            outcome.changes.append(attempt_end.lost(job, task, reason))
        else:
            # The start can no longer take effect. A former owner's start is refused
            # because the worker has seen this owner's epoch, and a start sent by
            # this owner is refused because its ticket is too old.
            outcome.changes.append(attempt_end.never_started(job, task))
        outcome.gone.append(task.task_id)

    def _may_still_start(self, report: WorkerReport, start: TrackedStart) -> bool:
        """Returns whether the start is still to be sent or may still arrive."""
        if start.phase is StartPhase.SENT:
            return report.ticket - start.ticket <= self._ticket_max_age_ms
        return start.phase is StartPhase.CLAIMING

    def _close_ended_overrides(
        self, report: WorkerReport, outcome: Reconciliation
    ) -> None:
        """Closes overrides of unclaimed tasks that the worker no longer runs."""
        running = {
            override_id_of(OverrideKind.UNCLAIMED, one)
            for one in report.tasks
            if not one.state.ended
        }
        for override_id, override in self._table.overrides.items():
            is_unclaimed = override.kind is OverrideKind.UNCLAIMED
            is_on_worker = is_unclaimed and override.worker == report.worker
            if is_on_worker and override_id not in running:
                outcome.changes.append(OverrideClosed(override_id))


def _reconcile_ended_attempt(task_report: TaskReport, outcome: Reconciliation) -> None:
    """Handles an attempt that the table counts as ended."""
    attempt = (task_report.task_id, task_report.attempt)
    if task_report.state is ReportedState.RUNNING:
        outcome.stale.append(attempt)
    else:
        outcome.acknowledge.append(attempt)
