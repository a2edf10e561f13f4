"""Sessions with the workers of a shard, and what follows from their reports."""

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
    """Opens a session for each worker and turns reports into changes."""

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
        self._running: dict[WorkerId, asyncio.Task[None]] = {}
        self._awaited: set[tuple[WorkerId, TaskId, Attempt]] = set()

    def workers(self) -> tuple[WorkerId, ...]:
        """Returns the workers with a session."""
        return tuple(self.sessions)

    def add_observer(self, observe: ReportObserver) -> None:
        """Calls `observe` with each report from now on."""
        self._observers.append(observe)

    def confirmed_at(self, task: TaskRecord) -> timedelta | None:
        """Returns when this owner learned that the attempt had started."""
        session = self.sessions.get(task.worker)
        track = session.starts.get(task.task_id) if session else None
        return track.confirmed if track else None

    def update(self) -> None:
        """Opens sessions for new workers; closes those gone and unused."""
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
            self._running.pop(worker).cancel()
        self._settle_unlisted(in_use - self.sessions.keys())

    async def stop_task(self, task: TaskRecord, *, checkpoint: bool) -> None:
        """Asks a task's worker to stop it, unless it was asked just now."""
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
            return
        # The report that confirms the end is fetched at once.
        await session.renew()

    async def throttle_task(self, task: TaskRecord, share: float) -> bool:
        """Limits a task's processors; returns whether the worker did so."""
        session = self.sessions.get(task.worker)
        if session is None:
            return False
        throttled = await session.throttle(task.task_id, task.attempt, share)
        return isinstance(throttled, Ok)

    def _add(self, session: WorkerSession) -> None:
        self.sessions[session.worker] = session
        self._running[session.worker] = self._background.start(
            session.run(self._on_failure, self._period_of)
        )

    def _period_of(self, session: WorkerSession) -> timedelta:
        timings = self._context.timings
        if not self._context.table.active_on(session.worker):
            return timings.idle_worker_renew
        if self._has_waiting_work():
            # Ended tasks are noticed by reports only; their room is wanted now.
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
        """Handles a renewal that failed."""
        _check_epoch(error)
        if session.attempted_after_lapse:
            reason = f'worker {session.worker} is silent and its lease lapsed'
            self._lose_tasks(session.worker, reason)

    def _settle_unlisted(self, workers: set[WorkerId]) -> None:
        """Ends tasks and overrides of workers that vanished for good."""
        timings = self._context.timings
        bound = self._context.tenure.started + timings.predecessor_lease_bound
        if self._context.clock.monotonic() <= bound:
            return
        for worker in workers:
            self._lose_tasks(worker, f'worker {worker} is no longer listed')
        for override in tuple(self._context.table.overrides.values()):
            is_unclaimed = override.kind is OverrideKind.UNCLAIMED
            if is_unclaimed and override.worker not in self.sessions:
                self._context.committer.commit(OverrideClosed(override.override_id))

    def _lose_tasks(self, worker: WorkerId, reason: str) -> None:
        for task in self._context.table.active_on(worker):
            job = self._context.table.job_of(task.task_id)
            self._context.committer.commit(attempt_end.lost(job, task, reason))
            if worker in self.sessions:
                # An unsettled start would keep the worker from further ones.
                self.sessions[worker].forget_task(task.task_id)
            _LOG.warning(reason, extra={'job': job.job_id, 'peer': worker})

    def _acknowledge_later(
        self, session: WorkerSession, ended: list[tuple[TaskId, Attempt]]
    ) -> None:
        """Waits once for each end, however often it is reported meanwhile.

        While the store is away every report lists the same ends again.
        """
        fresh = [one for one in ended if (session.worker, *one) not in self._awaited]
        if fresh:
            self._awaited.update((session.worker, *one) for one in fresh)
            self._background.start(self._acknowledge(session, fresh))

    async def _acknowledge(
        self, session: WorkerSession, ended: list[tuple[TaskId, Attempt]]
    ) -> None:
        # The worker may forget an end only once the journal has it.
        await asyncio.shield(self._context.committer.barrier())
        for task_id, attempt in ended:
            session.acknowledge(task_id, attempt)
            self._awaited.discard((session.worker, task_id, attempt))


async def _stop_stale(
    session: WorkerSession, task_id: TaskId, attempt: Attempt
) -> None:
    _LOG.warning('stopping attempt %d of %s, which is not current', attempt, task_id)
    await session.stop(task_id, attempt, checkpoint=False)


def _check_epoch(error: Failure | Refusal) -> None:
    if isinstance(error, Refusal) and error.reason is RefusalReason.STALE_EPOCH:
        raise ShardLostError(f'a worker has seen epoch {error.epoch}')
