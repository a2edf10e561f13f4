"""Records the end of jobs and ends jobs that fit no worker."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok

from chiveworks.base import JobId, Resources
from chiveworks.instances import Instance
from chiveworks.jobs import (
    JobAccepted,
    JobCancelled,
    JobDropped,
    JobRecord,
    JobStayed,
    JobUnschedulable,
    TaskClaimed,
    TaskEnded,
    TaskReleased,
    job_id_of_task,
)
from chiveworks.membership import JobState
from chiveworks.scheduler._background_tasks import BackgroundTasks
from chiveworks.scheduler._fleet import Fleet
from chiveworks.scheduler._shard_context import ShardContext
from chiveworks.store import RetentionLease

_LOG = logging.getLogger(__name__)
_RETRY_DELAY = timedelta(seconds=2)
#: Minimum time for which the result of an ended job can be fetched.
_RESULT_RETENTION = timedelta(days=7)
#: Time after acceptance for which a job with unknown outcome stays in the shard.
#: Without it, the shard dropped such jobs before an operator could see them.
_UNKNOWN_OUTCOME_RETENTION = timedelta(days=7)
_RETENTION_CHECK_PERIOD = timedelta(hours=1)


class JobCloser:
    """Writes the end of a job to its record, then drops the job from the shard."""

    def __init__(
        self,
        context: ShardContext,
        fleet: Fleet,
        background: BackgroundTasks,
        list_workers: Callable[[], tuple[Instance, ...]],
    ) -> None:
        self._context = context
        self._fleet = fleet
        self._background = background
        self._list_workers = list_workers
        self._retention = RetentionLease(
            context.store, context.clock, _RESULT_RETENTION
        )
        self._closing: set[JobId] = set()
        # Dictionaries serve as insertion-ordered sets. `_changed`: jobs that may
        # have ended since the last round; `_waiting`: jobs that may have no active
        # task, which `refuse_oversized` checks.
        self._changed: dict[JobId, None] = {}
        self._waiting: dict[JobId, None] = {}

    def load(self) -> None:
        """Registers the jobs of a table replayed from the journal."""
        for job in self._context.table.jobs.values():
            self._changed[job.job_id] = None
            if job.state is JobState.ACCEPTED:
                self._waiting[job.job_id] = None

    def note_change(self, change: object) -> None:
        """Marks the jobs affected by a change of the table.

        Rounds check only these jobs. A shard holds thousands of jobs, and checking
        all of them took most of the time of a round.
        """
        match change:
            case JobAccepted():
                self._mark_changed(change.job.job_id)
            case TaskEnded() | TaskReleased():
                self._mark_changed(job_id_of_task(change.task_id))
            case JobCancelled() | JobUnschedulable() | JobStayed():
                self._mark_changed(change.job_id)
            case TaskClaimed():
                self._waiting.pop(job_id_of_task(change.task_id), None)
            case JobDropped():
                self._waiting.pop(change.job_id, None)

    def refuse_oversized(self) -> None:
        """Marks waiting jobs unschedulable if their tasks fit no worker of the zone."""
        instances = self._list_workers()
        if not instances:
            return
        fitting: dict[Resources, bool] = {}
        for job_id in tuple(self._waiting):
            job = self._context.table.jobs[job_id]
            needed = job.spec.resources
            if needed not in fitting:
                fitting[needed] = self._fleet.fits_empty(needed)
            if not fitting[needed] and self._is_overdue(job):
                reason = f'no worker in zone {job.home} can hold {needed}'
                self._context.committer.commit(JobUnschedulable(job_id, reason))

    def close_ended(self) -> None:
        """Starts a background task per ended job that records its end."""
        changed = self._changed
        self._changed = {}
        for job_id in changed:
            job = self._context.table.jobs.get(job_id)
            if job is None or not job.is_final:
                continue
            if job_id in self._closing:
                # The job was accepted again while its previous end is being recorded.
                self._changed[job_id] = None
                continue
            self._closing.add(job_id)
            self._background.start(self._close(job))

    def _mark_changed(self, job_id: JobId) -> None:
        self._changed[job_id] = None
        self._waiting[job_id] = None

    def _is_overdue(self, job: JobRecord) -> bool:
        waited = self._context.clock.now() - job.accepted_at
        return (
            job.state is JobState.ACCEPTED
            and not job.moving
            and waited >= self._context.timings.unschedulable_after
        )

    async def _close(self, job: JobRecord) -> None:
        await asyncio.shield(self._context.committer.barrier())
        while not await self._write_end(job):
            await self._context.clock.sleep(_RETRY_DELAY)
        while self._is_retained(job):
            await self._context.clock.sleep(_RETENTION_CHECK_PERIOD)
        await self._context.committer.commit(JobDropped(job.job_id))
        self._closing.discard(job.job_id)
        _LOG.info(
            'job ended and was removed from the shard',
            extra={'job': job.job_id, 'zone': job.home},
        )

    def _is_retained(self, job: JobRecord) -> bool:
        age = self._context.clock.now() - job.accepted_at
        return (
            job.state is JobState.OUTCOME_UNKNOWN and age < _UNKNOWN_OUTCOME_RETENTION
        )

    async def _write_end(self, job: JobRecord) -> bool:
        fetched = await self._context.job_store.fetch(job.job_id)
        if isinstance(fetched, Err):
            return False
        stored = fetched.ok_value
        if stored is None:
            _LOG.error(
                'cannot record the end of the job: it has no record in the store',
                extra={'job': job.job_id},
            )
            return True
        if stored.job.is_final:
            return True
        lease = await self._retention.current()
        if isinstance(lease, Err):
            return False
        written = await self._context.job_store.write(
            job, stored.revision, lease.ok_value
        )
        return isinstance(written, Ok)
