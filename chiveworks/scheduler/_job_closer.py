"""Records the end of jobs and refuses those that can never run."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok

from chiveworks.base import JobId
from chiveworks.instances import Instance
from chiveworks.jobs import JobDropped, JobRecord, JobUnschedulable
from chiveworks.membership import JobState
from chiveworks.scheduler._background import Background
from chiveworks.scheduler._fleet import Fleet
from chiveworks.scheduler._shard_context import ShardContext

_LOG = logging.getLogger(__name__)
_RETRY = timedelta(seconds=2)
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
        background: Background,
        list_workers: Callable[[], tuple[Instance, ...]],
    ) -> None:
        self._context = context
        self._fleet = fleet
        self._background = background
        self._list_workers = list_workers
        self._closing: set[JobId] = set()

    def refuse_oversized(self) -> None:
        """Ends waiting jobs whose tasks fit no worker of the zone."""
        instances = self._list_workers()
        if not instances:
            return
        for job in self._context.table.jobs.values():
            if self._is_overdue(job):
                needed = job.spec.resources
                if not self._fleet.fits_empty(needed, instances):
                    reason = f'no worker in zone {job.home} can hold {needed}'
                    self._context.ledger.commit(JobUnschedulable(job.job_id, reason))

    def close_ended(self) -> None:
        """Starts recording the end of each job that has ended."""
        for job in self._context.table.jobs.values():
            if job.is_final and job.job_id not in self._closing:
                self._closing.add(job.job_id)
                self._background.start(self._close(job))

    def _is_overdue(self, job: JobRecord) -> bool:
        waited = self._context.clock.now() - job.accepted_at
        return (
            job.state is JobState.ACCEPTED
            and not job.moving
            and waited >= self._context.timings.unschedulable_after
        )

    async def _close(self, job: JobRecord) -> None:
        await asyncio.shield(self._context.ledger.barrier())
        while not await self._write_end(job):
            await self._context.clock.sleep(_RETRY)
        while self._is_kept(job):
            await self._context.clock.sleep(_KEPT_CHECK)
        await self._context.ledger.commit(JobDropped(job.job_id))
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
        written = await self._context.job_store.write(job, stored.revision)
        return isinstance(written, Ok)
