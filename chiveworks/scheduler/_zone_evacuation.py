"""Evicts tasks and moves jobs while the zone is out of service."""

import asyncio
import logging

from result import Err

from chiveworks.base import Failure, JobId, ZoneName
from chiveworks.jobs import (
    JobAccepted,
    JobDropped,
    JobMoving,
    JobRecord,
    JobStayed,
    StoredJob,
    TaskRecord,
)
from chiveworks.membership import JobTransfer, ShardClient, TaskState
from chiveworks.scheduler._shard_context import ShardContext
from chiveworks.store import StoreConflict

_LOG = logging.getLogger(__name__)
_NONCE_BYTES = 12
#: Limits the concurrent store calls of a zone that is being evacuated.
_MAX_CONCURRENT_MOVES = 32


class ZoneEvacuation:
    """Selects tasks to evict and moves jobs to other zones.

    A move is journalled before the job record names another home zone. From then
    on neither this owner nor a successor starts the job until the record has been
    written again. The record is written by compare-and-swap, so only one of the
    two zones becomes the home.
    """

    def __init__(
        self,
        context: ShardContext,
        shards: ShardClient,
        zones: tuple[ZoneName, ...],
    ) -> None:
        self._tenure = context.tenure
        self._table = context.table
        self._committer = context.committer
        self._job_store = context.job_store
        self._replica = context.replica
        self._random = context.random
        self._shards = shards
        self._zones = zones

    @property
    def is_out_of_service(self) -> bool:
        """Whether operators have taken the zone out of service."""
        return not self._replica.is_in_service(self._tenure.zone)

    def tasks_to_evict(self) -> tuple[TaskRecord, ...]:
        """Returns the active tasks to checkpoint and stop."""
        if not self.is_out_of_service:
            return ()
        return tuple(
            task
            for task in self._table.active_tasks()
            if self._table.job_of(task.task_id).spec.resumable
        )

    async def move_jobs(self) -> int:
        """Moves jobs without active tasks; returns the number of jobs moved."""
        # While the zone is in service, only moves that have already begun are finished.
        jobs = self._table.jobs if self.is_out_of_service else self._table.moving
        movable = [job for job in jobs.values() if self._is_movable(job)]
        # Concurrently, because each move waits for a group commit in both zones.
        moves = (self._move(job) for job in movable[:_MAX_CONCURRENT_MOVES])
        return sum(await asyncio.gather(*moves))

    def _is_movable(self, job: JobRecord) -> bool:
        if job.moving:
            return True
        return self.is_out_of_service and not job.is_final and _is_waiting(job)

    async def _move(self, job: JobRecord) -> int:
        """Moves a job; returns 1 once the other zone has taken it over, else 0."""
        fetched = await self._job_store.fetch(job.job_id)
        if isinstance(fetched, Err) or fetched.ok_value is None:
            return 0
        stored = fetched.ok_value
        if self._table.jobs.get(job.job_id) is not job:
            return 0
        if stored.job.home != self._tenure.zone:
            return await self._hand_over(job, stored.job.home, stored.job.generation)
        if stored.job.generation > job.generation:
            # The job was moved away and back, or a move was abandoned; the record in
            # the store is newer than the table.
            await self._committer.commit(
                JobDropped(job.job_id), JobAccepted(stored.job)
            )
            return 0
        if not self._is_movable(job):
            # A task was started or the job was cancelled while the record was read.
            return 0
        return await self._change_home(job, stored)

    async def _change_home(self, job: JobRecord, stored: StoredJob) -> int:
        """Writes another home zone, or this one if the zone is back in service."""
        if not job.moving:
            await self._committer.commit(JobMoving(job.job_id))
        target = self._choose_target_zone(job.job_id)
        if target is None and self.is_out_of_service:
            # No zone is in service; the journalled move resumes once one is.
            return 0
        generation = stored.job.generation + 1
        record = _copy(
            job,
            home=target or self._tenure.zone,
            generation=generation,
            nonce=self._random.bytes(_NONCE_BYTES).hex(),
        )
        written = await self._job_store.write(record, stored.revision)
        if isinstance(written, Err):
            return _log_failed_move(job, written.err_value)
        if target is None:
            await self._committer.commit(JobStayed(job.job_id, generation))
            return 0
        return await self._hand_over(job, target, generation)

    def _choose_target_zone(self, job_id: JobId) -> ZoneName | None:
        """Returns a random other zone in service.

        Returns None if this zone is back in service or no other zone is in service.
        """
        if not self.is_out_of_service:
            return None
        others = [
            zone
            for zone in self._zones
            if zone != self._tenure.zone and self._replica.is_in_service(zone)
        ]
        return others[self._random.integers(len(others))] if others else None

    async def _hand_over(self, job: JobRecord, home: ZoneName, generation: int) -> int:
        shard = self._shards.of_zone(home)
        taken = await shard.transfer(JobTransfer(job.job_id, generation))
        if isinstance(taken, Err):
            _LOG.warning(
                'job transfer failed and will be retried: %s',
                taken.err_value,
                extra={'job': job.job_id, 'zone': home},
            )
            return 0
        if job.job_id in self._table.jobs:
            await self._committer.commit(JobDropped(job.job_id))
        return 1


def _is_waiting(job: JobRecord) -> bool:
    """Returns whether no task of the job is active or held."""
    states = {task.state for task in job.tasks}
    has_held = TaskState.HELD in states
    return not has_held and not any(task.is_active for task in job.tasks)


def _copy(job: JobRecord, home: ZoneName, generation: int, nonce: str) -> JobRecord:
    record = JobRecord.decode(job.encode())
    record.home = home
    record.generation = generation
    record.nonce = nonce
    record.moving = False
    return record


def _log_failed_move(job: JobRecord, error: Failure | StoreConflict) -> int:
    _LOG.info(
        'failed to write the new home zone of the job: %s',
        error,
        extra={'job': job.job_id},
    )
    return 0
