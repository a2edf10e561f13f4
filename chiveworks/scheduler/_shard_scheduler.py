"""Scheduling of one shard during one tenure."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok, Result

from chiveworks.base import Clock, Failure, JobId, TaskId, TenantName, WorkerId
from chiveworks.instances import Instance
from chiveworks.jobs import (
    JobDropped,
    JobRecord,
    JobStore,
    JobUnschedulable,
    OwnerReleased,
    TaskEnded,
    TaskRecord,
    TaskTable,
)
from chiveworks.membership import (
    JobRegistration,
    JobState,
    JobSubmission,
    JobTransfer,
    JobView,
    OverrideResolution,
    OverrideView,
    ShardFailure,
    ShardView,
    TaskState,
)
from chiveworks.placement import Quarantine
from chiveworks.scheduler import _attempt_end as attempt_end
from chiveworks.scheduler._fleet import Fleet
from chiveworks.scheduler._job_registrar import JobRegistrar
from chiveworks.scheduler._ledger import Ledger
from chiveworks.scheduler._override_resolver import OverrideResolver
from chiveworks.scheduler._reconcile import Reconciler
from chiveworks.scheduler._shard_views import describe_shard
from chiveworks.scheduler._shard_lost_error import ShardLostError
from chiveworks.scheduler._start_round import StartRound
from chiveworks.scheduler._tenure import Tenure
from chiveworks.scheduler._timings import SchedulerTimings
from chiveworks.scheduler._work_queue import WorkQueue
from chiveworks.scheduler._worker_session import WorkerSession
from chiveworks.scheduler._zone_departure import ZoneDeparture
from chiveworks.workers import Refusal, RefusalReason, WorkerReport

_LOG = logging.getLogger(__name__)


class ShardScheduler:
    """Runs one task per worker and the rounds of starts; answers shard calls.

    All state is in the table; it is discarded with the tenure.
    """

    def __init__(
        self,
        tenure: Tenure,
        table: TaskTable,
        ledger: Ledger,
        queue: WorkQueue,
        fleet: Fleet,
        quarantine: Quarantine,
        registrar: JobRegistrar,
        resolver: OverrideResolver,
        departure: ZoneDeparture,
        start_round: StartRound,
        job_store: JobStore,
        sessions: dict[WorkerId, WorkerSession],
        open_session: Callable[[Instance], WorkerSession],
        list_workers: Callable[[], tuple[Instance, ...]],
        clock: Clock,
        timings: SchedulerTimings,
    ) -> None:
        self._tenure = tenure
        self._table = table
        self._ledger = ledger
        self._queue = queue
        self._fleet = fleet
        self._quarantine = quarantine
        self._registrar = registrar
        self._resolver = resolver
        self._departure = departure
        self._start_round = start_round
        self._job_store = job_store
        self._sessions = sessions
        self._open_session = open_session
        self._list_workers = list_workers
        self._clock = clock
        self._timings = timings
        self._reconciler = Reconciler(
            table, int(timings.ticket_max_age / timedelta(milliseconds=1))
        )
        self._ending: set[JobId] = set()
        self._group: asyncio.TaskGroup | None = None
        self._session_tasks: dict[WorkerId, asyncio.Task[None]] = {}

    @property
    def tenure(self) -> Tenure:
        """The tenure that this scheduler serves."""
        return self._tenure

    async def run(self) -> None:
        """Schedules until the shard is lost.

        Raises:
            ShardLostError: Inside an exception group; another process owns it.
        """
        async with asyncio.TaskGroup() as group:
            self._group = group
            group.create_task(self._ledger.run())
            group.create_task(self._run_rounds())
            group.create_task(self._run_departure())

    async def release(self) -> None:
        """Journals that this owner renews no more leases; for a planned stop."""
        self._ledger.commit(OwnerReleased(self._tenure.epoch))
        await self._ledger.flush()

    async def register(
        self, submission: JobSubmission
    ) -> Result[JobRegistration, Failure]:
        """Registers a job."""
        return await self._registrar.register(submission)

    async def cancel(self, job_id: JobId) -> Result[JobView, Failure]:
        """Cancels a job."""
        return await self._registrar.cancel(job_id)

    async def transfer(self, transfer: JobTransfer) -> Result[JobView, Failure]:
        """Takes over a job from another zone."""
        return await self._registrar.transfer(transfer)

    async def describe_job(self, job_id: JobId) -> Result[JobView, Failure]:
        """Describes a job of this shard."""
        job = self._table.jobs.get(job_id)
        if job is None:
            return Err(ShardFailure.not_owner(self._tenure.owner))
        return Ok(job.view())

    async def list_jobs(
        self, tenant: TenantName
    ) -> Result[tuple[JobView, ...], Failure]:
        """Lists a tenant's jobs in this shard."""
        jobs = self._table.jobs.values()
        return Ok(tuple(job.view() for job in jobs if job.tenant == tenant))

    async def resolve_override(
        self, resolution: OverrideResolution
    ) -> Result[OverrideView, Failure]:
        """Adopts or reverts a manual override."""
        return await self._resolver.resolve(resolution)

    async def describe_shard(self) -> Result[ShardView, Failure]:
        """Describes the shard."""
        return Ok(
            describe_shard(
                self._tenure,
                self._table,
                len(self._sessions),
                self._quarantine.quarantined(),
            )
        )

    def stop_job(self, job: JobRecord) -> None:
        """Asks the workers to stop a cancelled job's running tasks."""
        for task in job.tasks:
            if task.is_active:
                self._spawn(self._send_stop(task, checkpoint=False))

    def note_change(self, change: object) -> None:
        """Follows each change of the table; the ledger calls it."""
        self._queue.observe(change)
        if isinstance(change, TaskEnded):
            self._note_task_end(change)

    async def _run_rounds(self) -> None:
        while True:
            self._update_sessions()
            self._refuse_oversized_jobs()
            self._end_jobs()
            await self._start_round.run(self._sessions)
            await self._clock.sleep(self._timings.commit_tick)

    async def _run_departure(self) -> None:
        while True:
            for task in self._departure.tasks_to_evict():
                await self._send_stop(task, checkpoint=True)
            await self._departure.move_jobs()
            await self._clock.sleep(self._timings.commit_tick)

    def _update_sessions(self) -> None:
        """Opens sessions for new workers; closes those that are gone and unused."""
        listed = {
            WorkerId(instance.instance_id): instance
            for instance in self._list_workers()
        }
        in_use = set(self._table.workers_in_use())
        for worker, instance in listed.items():
            if worker in self._sessions:
                self._sessions[worker].instance = instance
            else:
                self._add_session(self._open_session(instance))
        for worker in set(self._sessions) - listed.keys() - in_use:
            self._sessions.pop(worker)
            self._session_tasks.pop(worker).cancel()
        self._quarantine.resize(len(self._sessions))
        self._end_tasks_of_unlisted(in_use - self._sessions.keys())

    def _add_session(self, session: WorkerSession) -> None:
        self._sessions[session.worker] = session
        self._session_tasks[session.worker] = self._spawn(
            session.run(self._on_report, self._on_silence, self._is_busy)
        )

    def _end_tasks_of_unlisted(self, workers: set[WorkerId]) -> None:
        """Ends tasks of workers that vanished before this owner met them."""
        bound = self._tenure.started + self._first_bound()
        if self._clock.monotonic() <= bound:
            return
        for worker in workers:
            self._lose_tasks(worker, f'worker {worker} is no longer listed')

    def _first_bound(self) -> timedelta:
        return self._timings.store_outage_tolerance + self._timings.lease_bound

    def _is_busy(self, session: WorkerSession) -> bool:
        return bool(self._table.active_on(session.worker))

    def _on_report(self, session: WorkerSession, report: WorkerReport) -> None:
        outcome = self._reconciler.reconcile(report, session.starts, self._clock.now())
        for task_id in outcome.gone:
            session.starts.pop(task_id, None)
            session.stops.pop(task_id, None)
        for task_id, attempt in outcome.stale:
            self._spawn(self._stop_stale(session, task_id, attempt))
        if outcome.changes or outcome.acknowledge:
            durable = self._ledger.commit(*outcome.changes)
            barrier = durable if outcome.changes else self._ledger.barrier()
            self._spawn(self._acknowledge(session, outcome.acknowledge, barrier))

    def _on_silence(self, session: WorkerSession) -> None:
        self._lose_tasks(
            session.worker, f'worker {session.worker} is silent and its lease lapsed'
        )

    def _lose_tasks(self, worker: WorkerId, reason: str) -> None:
        for task in self._table.active_on(worker):
            job = self._table.job_of(task.task_id)
            self._ledger.commit(attempt_end.lost(job, task, reason))
            _LOG.warning(reason, extra={'job': job.job_id, 'zone': self._tenure.zone})

    async def _acknowledge(
        self,
        session: WorkerSession,
        ended: list[tuple[TaskId, int]],
        durable: 'asyncio.Future[None]',
    ) -> None:
        await asyncio.shield(durable)
        for task_id, attempt in ended:
            session.acknowledge(task_id, attempt)

    async def _send_stop(self, task: TaskRecord, *, checkpoint: bool) -> None:
        session = self._sessions.get(task.worker)
        if session is None or not session.is_stop_due(task.task_id):
            return
        task.state = TaskState.STOPPING
        stopped = await session.stop(task.task_id, task.attempt, checkpoint=checkpoint)
        if isinstance(stopped, Err):
            self._check_epoch(stopped.err_value)
        else:
            # The report that confirms the end is fetched at once.
            renewed = await session.renew()
            if isinstance(renewed, Ok):
                self._on_report(session, renewed.ok_value)

    async def _stop_stale(
        self, session: WorkerSession, task_id: TaskId, attempt: int
    ) -> None:
        _LOG.warning(
            'stopping attempt %d of %s, which has been replaced', attempt, task_id
        )
        await session.stop(task_id, attempt, checkpoint=False)

    def _check_epoch(self, error: Failure | Refusal) -> None:
        if isinstance(error, Refusal) and error.reason is RefusalReason.STALE_EPOCH:
            raise ShardLostError(f'worker has seen epoch {error.epoch}')

    def _note_task_end(self, change: TaskEnded) -> None:
        task = self._table.tasks[change.task_id]
        if change.state is TaskState.FINISHED:
            self._quarantine.note_started(task.worker)
        elif change.failures:
            self._quarantine.note_failed(task.worker)

    def _refuse_oversized_jobs(self) -> None:
        instances = self._list_workers()
        if not instances:
            return
        for job in self._table.jobs.values():
            waited = self._clock.now() - job.accepted_at
            if job.state is not JobState.ACCEPTED or job.moving:
                continue
            if waited < self._timings.unschedulable_after:
                continue
            needed = job.spec.resources
            if not self._fleet.fits_empty(needed, instances):
                reason = f'no worker in zone {job.home} can hold {needed}'
                self._ledger.commit(JobUnschedulable(job.job_id, reason))

    def _end_jobs(self) -> None:
        for job in self._table.jobs.values():
            if job.is_final and job.job_id not in self._ending:
                self._ending.add(job.job_id)
                self._spawn(self._end_job(job))

    async def _end_job(self, job: JobRecord) -> None:
        """Writes a job's end to its record, then drops it from the shard."""
        await asyncio.shield(self._ledger.barrier())
        while not await self._write_end(job):
            await self._clock.sleep(self._timings.shard_renew)
        await self._ledger.commit(JobDropped(job.job_id))
        self._ending.discard(job.job_id)
        _LOG.info('job ended', extra={'job': job.job_id, 'zone': job.home})

    async def _write_end(self, job: JobRecord) -> bool:
        fetched = await self._job_store.fetch(job.job_id)
        if isinstance(fetched, Err):
            return False
        stored = fetched.ok_value
        if stored is not None and stored.job.is_final:
            return True
        revision = stored.revision if stored else None
        if revision is None:
            _LOG.error('the job has no record', extra={'job': job.job_id})
            return True
        written = await self._job_store.write(job, revision)
        return isinstance(written, Ok)

    def _spawn(self, coroutine: 'asyncio._CoroutineLike[None]') -> 'asyncio.Task[None]':
        if self._group is None:
            raise RuntimeError('the scheduler is not running')
        return self._group.create_task(coroutine)
