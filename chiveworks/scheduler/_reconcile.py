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
    """Finds what a report says about claims, ends and manual overrides."""

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
            starts: Starts that this owner has sent to the worker.
            now: Time to record for overrides, in UTC.
        """
        outcome = Reconciliation()
        for task_report in report.tasks:
            self._compare(report, task_report, now, outcome)
        listed = {one.task_id for one in report.tasks}
        for task in self._table.active_on(report.worker):
            if task.task_id not in listed:
                self._judge_missing(report, task, starts.get(task.task_id), outcome)
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
        """Tells whether the attempt of a tracked start has ended or moved away."""
        task = self._table.tasks.get(task_id)
        if task is None or not task.is_active:
            return True
        return task.worker != worker or task.attempt != start.attempt

    def _compare(
        self,
        report: WorkerReport,
        task_report: TaskReport,
        now: datetime,
        outcome: Reconciliation,
    ) -> None:
        task = self._table.tasks.get(task_report.task_id)
        if task is None:
            self._compare_unknown(report, task_report, now, outcome)
        elif self._is_former(task, task_report):
            _compare_former(task_report, outcome)
        elif task.worker != report.worker or not task.is_active:
            self._compare_elsewhere(report, task, task_report, now, outcome)
        elif task_report.state.ended:
            self._record_end(report, task, task_report, now, outcome)
        else:
            self._record_running(report, task, task_report, now, outcome)

    def _is_former(self, task: TaskRecord, task_report: TaskReport) -> bool:
        """Tells whether the table counts the reported attempt as ended.

        A held task counts as current: after a move by hand its former worker
        reports a stop, possibly before the new worker reports that it runs.
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
        if is_resized(task, task_report):
            self._follow_size(report, task, task_report, now, outcome)

    def _follow_size(
        self,
        report: WorkerReport,
        task: TaskRecord,
        task_report: TaskReport,
        now: datetime,
        outcome: Reconciliation,
    ) -> None:
        """Reserves what the worker holds; the declared size is no override."""
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
        """Returns when the override was first noticed."""
        noted = self._table.overrides.get(override_id_of(kind, task_report))
        return noted.since if noted else now

    def _compare_unknown(
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

    def _compare_elsewhere(
        self,
        report: WorkerReport,
        task: TaskRecord,
        task_report: TaskReport,
        now: datetime,
        outcome: Reconciliation,
    ) -> None:
        """Handles the current attempt on another worker than the claimed one."""
        if task_report.state.ended:
            outcome.acknowledge.append((task.task_id, task.attempt))
            return
        moved_id = override_id_of(OverrideKind.MOVED, task_report)
        if task.is_active and moved_id in self._table.overrides:
            # Moved already, and the former worker still runs it: one copy only.
            outcome.stale.append((task.task_id, task.attempt))
            return
        job = self._table.job_of(task.task_id)
        # A move whose stop was noticed first began with that stop.
        since = self._since(OverrideKind.STOPPED, task_report, now)
        override = create_override_record(
            OverrideKind.MOVED, report.worker, task_report, job, since
        )
        stopped_id = override_id_of(OverrideKind.STOPPED, task_report)
        if stopped_id in self._table.overrides:
            outcome.changes.append(OverrideClosed(stopped_id))
        # Followed before the size is compared: the reservation moves with it.
        outcome.changes.append(TaskMoved(task.task_id, report.worker, report.boot_id))
        outcome.changes.append(OverrideNoted(override))
        if is_resized(task, task_report):
            self._follow_size(report, task, task_report, now, outcome)

    def _judge_missing(
        self,
        report: WorkerReport,
        task: TaskRecord,
        start: TrackedStart | None,
        outcome: Reconciliation,
    ) -> None:
        """Handles a claim that the worker does not list."""
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
            # A former owner's start is refused from now on: the worker has seen
            # this owner's epoch. An own start is refused for its old ticket.
            outcome.changes.append(attempt_end.never_started(job, task))
        outcome.gone.append(task.task_id)

    def _may_still_start(self, report: WorkerReport, start: TrackedStart) -> bool:
        """Tells whether the start has yet to be sent or may yet arrive."""
        if start.phase is StartPhase.SENT:
            return report.ticket - start.ticket <= self._ticket_max_age_ms
        return start.phase is StartPhase.CLAIMING

    def _close_ended_overrides(
        self, report: WorkerReport, outcome: Reconciliation
    ) -> None:
        running = {
            override_id_of(OverrideKind.UNCLAIMED, one)
            for one in report.tasks
            if not one.state.ended
        }
        for override_id, override in self._table.overrides.items():
            is_unclaimed = override.kind is OverrideKind.UNCLAIMED
            is_here = is_unclaimed and override.worker == report.worker
            if is_here and override_id not in running:
                outcome.changes.append(OverrideClosed(override_id))


def _compare_former(task_report: TaskReport, outcome: Reconciliation) -> None:
    """Handles an attempt that the table counts as ended."""
    attempt = (task_report.task_id, task_report.attempt)
    if task_report.state is ReportedState.RUNNING:
        outcome.stale.append(attempt)
    else:
        outcome.acknowledge.append(attempt)
