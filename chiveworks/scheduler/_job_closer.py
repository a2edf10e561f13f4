"""Records the end of jobs and refuses those that can never run."""

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
_RETRY = timedelta(seconds=2)
#: Time for which the result of an ended job can be fetched at least.
_RETENTION = timedelta(days=7)
#: Time from acceptance in which a job whose outcome is unknown stays listed.
#: Without it the shard dropped such a job before an operator could see it.
_UNKNOWN_KEPT = timedelta(days=7)
_KEPT_CHECK = timedelta(hours=1)


class JobCloser:
    """Writes a job's end to its record, then drops it from the shard."""

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
        self._retention = RetentionLease(context.store, context.clock, _RETENTION)
        self._closing: set[JobId] = set()
        # Dictionaries as sets that keep their order. `_touched`: jobs that may
        # have ended since the last round; `_waiting`: jobs that may have no
        # running task.
        self._touched: dict[JobId, None] = {}
        self._waiting: dict[JobId, None] = {}

    def load(self) -> None:
        """Takes up the jobs of a table that was replayed."""
        for job in self._context.table.jobs.values():
            self._touched[job.job_id] = None
            if job.state is JobState.ACCEPTED:
                self._waiting[job.job_id] = None

    def note_change(self, change: object) -> None:
        """Follows a change of the table.

        Rounds then look at the jobs concerned only. A shard holds thousands of
        jobs, and a round that looked at all of them took most of a round's time.
        """
        match change:
            case JobAccepted():
                self._touch(change.job.job_id)
            case TaskEnded() | TaskReleased():
                self._touch(job_id_of_task(change.task_id))
            case JobCancelled() | JobUnschedulable() | JobStayed():
                self._touch(change.job_id)
            case TaskClaimed():
                self._waiting.pop(job_id_of_task(change.task_id), None)
            case JobDropped():
                self._waiting.pop(change.job_id, None)

    def refuse_oversized(self) -> None:
        """Ends waiting jobs whose tasks fit no worker of the zone."""
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
        """Starts recording the end of each job that has ended."""
        touched = self._touched
        self._touched = {}
        for job_id in touched:
            job = self._context.table.jobs.get(job_id)
            if job is None or not job.is_final:
                continue
            if job_id in self._closing:
                # A job that came back while its former end was being recorded.
                self._touched[job_id] = None
                continue
            self._closing.add(job_id)
            self._background.start(self._close(job))

    def _touch(self, job_id: JobId) -> None:
        self._touched[job_id] = None
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
            await self._context.clock.sleep(_RETRY)
        while self._is_kept(job):
            await self._context.clock.sleep(_KEPT_CHECK)
        await self._context.committer.commit(JobDropped(job.job_id))
        self._closing.discard(job.job_id)
        _LOG.info('job ended', extra={'job': job.job_id, 'zone': job.home})

    def _is_kept(self, job: JobRecord) -> bool:
        age = self._context.clock.now() - job.accepted_at
        return job.state is JobState.OUTCOME_UNKNOWN and age < _UNKNOWN_KEPT

    async def _write_end(self, job: JobRecord) -> bool:
        fetched = await self._context.job_store.fetch(job.job_id)
        if isinstance(fetched, Err):
            return False
        stored = fetched.ok_value
        if stored is None:
            _LOG.error('the job has no record', extra={'job': job.job_id})
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
