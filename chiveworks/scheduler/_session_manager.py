"""Sessions with the workers of a shard and the handling of their reports."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok

from chiveworks.base import Attempt, Failure, TaskId, WorkerId
from chiveworks.instances import Instance
from chiveworks.jobs import OverrideClosed, TaskRecord
from chiveworks.membership import OverrideKind, TaskState
from chiveworks.scheduler import _attempt_end as attempt_end
from chiveworks.scheduler._background_tasks import BackgroundTasks
from chiveworks.scheduler._reconcile import Reconciler
from chiveworks.scheduler._report_observer import ReportObserver
from chiveworks.scheduler._shard_context import ShardContext
from chiveworks.scheduler._shard_lost_error import ShardLostError
from chiveworks.scheduler._worker_session import WorkerSession
from chiveworks.workers import Refusal, RefusalReason, WorkerReport

_LOG = logging.getLogger(__name__)

ReportHandler = Callable[[WorkerSession, WorkerReport], None]
SessionFactory = Callable[[Instance, ReportHandler], WorkerSession]


class SessionManager:
    """Opens a session per worker and commits the changes found in reports."""

    def __init__(
        self,
        context: ShardContext,
        reconciler: Reconciler,
        background: BackgroundTasks,
        open_session: SessionFactory,
        list_workers: Callable[[], tuple[Instance, ...]],
        has_waiting_work: Callable[[], bool],
    ) -> None:
        self.sessions: dict[WorkerId, WorkerSession] = {}
        self._context = context
        self._reconciler = reconciler
        self._background = background
        self._open_session = open_session
        self._list_workers = list_workers
        self._observers: list[ReportObserver] = []
        self._has_waiting_work = has_waiting_work
        self._renewal_loops: dict[WorkerId, asyncio.Task[None]] = {}
        self._pending_acknowledgements: set[tuple[WorkerId, TaskId, Attempt]] = set()

    def workers(self) -> tuple[WorkerId, ...]:
        """Returns the ids of the workers that have a session."""
        return tuple(self.sessions)

    def add_observer(self, observe: ReportObserver) -> None:
        """Registers an observer that is called with each report."""
        self._observers.append(observe)

    def confirmed_at(self, task: TaskRecord) -> timedelta | None:
        """Returns the monotonic time of the start's confirmation, if known."""
        session = self.sessions.get(task.worker)
        track = session.starts.get(task.task_id) if session else None
        return track.confirmed if track else None

    def update(self) -> None:
        """Opens sessions for new workers; closes those of unlisted, unused workers."""
        listed = {
            WorkerId(instance.instance_id): instance
            for instance in self._list_workers()
        }
        in_use = set(self._context.table.workers_in_use())
        for worker, instance in listed.items():
            if worker in self.sessions:
                self.sessions[worker].instance = instance
            else:
                self._add(self._open_session(instance, self._on_report))
        for worker in self.sessions.keys() - listed.keys() - in_use:
            self.sessions.pop(worker)
            self._renewal_loops.pop(worker).cancel()
        self._handle_unlisted_workers(in_use - self.sessions.keys())

    async def stop_task(self, task: TaskRecord, *, checkpoint: bool) -> None:
        """Asks a task's worker to stop it, unless a recent request is pending."""
        session = self.sessions.get(task.worker)
        # The task may have ended since the caller looked at it.
        if not task.is_active or session is None:
            return
        if not session.is_stop_due(task.task_id):
            return
        task.state = TaskState.STOPPING
        stopped = await session.stop(task.task_id, task.attempt, checkpoint=checkpoint)
        if isinstance(stopped, Err):
            _check_epoch(stopped.err_value)
            _LOG.info(
                'stop of %s on %s was not confirmed: %s',
                task.task_id,
                session.worker,
                stopped.err_value,
            )
            return
        # Fetches the report that confirms the end without waiting for the next renewal.
        await session.renew()

    async def throttle_task(self, task: TaskRecord, share: float) -> bool:
        """Limits a task to a share of its CPU; returns whether the worker did so."""
        session = self.sessions.get(task.worker)
        if session is None:
            return False
        throttled = await session.throttle(task.task_id, task.attempt, share)
        return isinstance(throttled, Ok)

    def _add(self, session: WorkerSession) -> None:
        self.sessions[session.worker] = session
        self._renewal_loops[session.worker] = self._background.start(
            session.run(self._on_failure, self._period_of)
        )

    def _period_of(self, session: WorkerSession) -> timedelta:
        timings = self._context.timings
        if not self._context.table.active_on(session.worker):
            return timings.idle_worker_renew
        if self._has_waiting_work():
            # The end of a task is noticed only through reports, and waiting tasks need
            # the resources it frees.
            return timings.backlog_worker_renew
        return timings.worker_renew

    def _on_report(self, session: WorkerSession, report: WorkerReport) -> None:
        kinds = self._kinds_in(report)
        for observe in self._observers:
            observe(session.instance, report, kinds)
        outcome = self._reconciler.reconcile(
            report, session.starts, self._context.clock.now()
        )
        for task_id in outcome.gone:
            session.forget_task(task_id)
        for task in outcome.cancelled:
            # The stop sent on the cancellation may have been lost, or the owner that
            # sent it may have been replaced.
            self._background.start(self.stop_task(task, checkpoint=False))
        for task_id, attempt in outcome.stale:
            self._background.start(_stop_stale(session, task_id, attempt))
        if outcome.changes:
            self._context.committer.commit(*outcome.changes)
        self._acknowledge_later(session, outcome.acknowledge)

    def _kinds_in(self, report: WorkerReport) -> dict[TaskId, str]:
        table = self._context.table
        return {
            one.task_id: table.job_of(one.task_id).spec.kind
            for one in report.tasks
            if one.task_id in table.tasks
        }

    def _on_failure(self, session: WorkerSession, error: Failure | Refusal) -> None:
        """Handles a failed renewal."""
        _check_epoch(error)
        if session.attempted_after_lapse:
            reason = f'worker {session.worker} is silent and its lease lapsed'
            self._mark_tasks_lost(session.worker, reason)

    def _handle_unlisted_workers(self, workers: set[WorkerId]) -> None:
        """Ends tasks and overrides on unlisted workers that have no session.

        Does nothing until the leases that a predecessor may have renewed have lapsed.
        """
        timings = self._context.timings
        bound = self._context.tenure.started + timings.predecessor_lease_bound
        if self._context.clock.monotonic() <= bound:
            return
        for worker in workers:
            self._mark_tasks_lost(worker, f'worker {worker} is no longer listed')
        for override in tuple(self._context.table.overrides.values()):
            is_unclaimed = override.kind is OverrideKind.UNCLAIMED
            if is_unclaimed and override.worker not in self.sessions:
                self._context.committer.commit(OverrideClosed(override.override_id))

    def _mark_tasks_lost(self, worker: WorkerId, reason: str) -> None:
        for task in self._context.table.active_on(worker):
            job = self._context.table.job_of(task.task_id)
            self._context.committer.commit(attempt_end.lost(job, task, reason))
            if worker in self.sessions:
                # A start without an outcome would keep the worker from getting others.
                self.sessions[worker].forget_task(task.task_id)
            _LOG.warning(reason, extra={'job': job.job_id, 'peer': worker})

    def _acknowledge_later(
        self, session: WorkerSession, ended: list[tuple[TaskId, Attempt]]
    ) -> None:
        """Starts one acknowledgement per ended attempt, however often it is reported.

        While the store is unavailable, every report lists the same ends again.
        """
        fresh = [
            one
            for one in ended
            if (session.worker, *one) not in self._pending_acknowledgements
        ]
        if fresh:
            self._pending_acknowledgements.update(
                (session.worker, *one) for one in fresh
            )
            self._background.start(self._acknowledge(session, fresh))

    async def _acknowledge(
        self, session: WorkerSession, ended: list[tuple[TaskId, Attempt]]
    ) -> None:
        # The worker may drop an ended attempt only once the end is in the journal.
        await asyncio.shield(self._context.committer.barrier())
        for task_id, attempt in ended:
            session.acknowledge(task_id, attempt)
            self._pending_acknowledgements.discard((session.worker, task_id, attempt))


async def _stop_stale(
    session: WorkerSession, task_id: TaskId, attempt: Attempt
) -> None:
    _LOG.warning(
        'stopping attempt %d of %s, which the shard counts as ended or as running on '
        'another worker',
        attempt,
        task_id,
    )
    await session.stop(task_id, attempt, checkpoint=False)


def _check_epoch(error: Failure | Refusal) -> None:
    if isinstance(error, Refusal) and error.reason is RefusalReason.STALE_EPOCH:
        raise ShardLostError(f'a worker has already seen the later epoch {error.epoch}')
