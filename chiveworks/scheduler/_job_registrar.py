"""Registration, cancellation and transfer of jobs in a shard."""

import asyncio
import logging
from collections.abc import Callable

from result import Err, Ok, Result

from chiveworks.base import Failure, JobId, Revision, Step, Verdict
from chiveworks.catalogue import CatalogueEntry, Priority
from chiveworks.jobs import (
    JobAccepted,
    JobCancelled,
    JobDropped,
    JobRecord,
    StoredJob,
    TaskRecord,
    TaskSpec,
    content_digest_of,
    job_id_of,
    task_id_of,
)
from chiveworks.membership import (
    FailureReason,
    JobRegistration,
    JobSubmission,
    JobTransfer,
    JobView,
    ShardFailure,
)
from chiveworks.scheduler._shard_context import ShardContext
from chiveworks.scheduler._shard_lost_error import ShardLostError
from chiveworks.store import StoreConflict

_LOG = logging.getLogger(__name__)
_ABSENT = Revision(0)
_NONCE_BYTES = 12


class JobRegistrar:
    """Adds jobs to the shard: writes the job record first, then the journal.

    A submission gets a response only once both are durable. A record without a journal
    entry belongs to a submission that never got a response; submitting the same key
    again completes it.
    """

    def __init__(
        self,
        context: ShardContext,
        on_cancel: Callable[[JobRecord], None],
    ) -> None:
        self._tenure = context.tenure
        self._table = context.table
        self._committer = context.committer
        self._job_store = context.job_store
        self._replica = context.replica
        self._clock = context.clock
        self._random = context.random
        self._on_cancel = on_cancel

    async def register(
        self, submission: JobSubmission
    ) -> Result[JobRegistration, Failure]:
        """Registers a job, or returns the existing job with the same key."""
        job_id = job_id_of(submission)
        if job_id in self._table.jobs:
            return await self._handle_known_job(submission, self._table.jobs[job_id])
        entry = self._replica.entry(submission.entry)
        if entry is None:
            return Err(self._unknown_entry(submission))
        job = self._new_job(submission, entry)
        written = await self._job_store.write(job, _ABSENT)
        if isinstance(written, Ok):
            return await self._accept(job, created=True)
        if isinstance(written.err_value, StoreConflict):
            return await self._adopt_existing(submission)
        return Err(self._store_failure(written.err_value))

    async def cancel(self, job_id: JobId) -> Result[JobView, Failure]:
        """Cancels a job; its waiting tasks are cancelled when this returns."""
        job = self._table.jobs.get(job_id)
        if job is None:
            return Err(self._unknown_job(job_id))
        if job.moving:
            # The other zone may already own the job, without the cancellation.
            return Err(self._wrong_home(job))
        if not job.cancelled and not job.is_final:
            self._committer.commit(JobCancelled(job_id))
            self._on_cancel(job)
        # Waits also if the job is already cancelled: the earlier cancellation may not
        # be durable yet and would be lost if this owner failed.
        lost = await self._wait(self._committer.barrier())
        return Err(lost) if lost is not None else Ok(job.view())

    async def transfer(self, transfer: JobTransfer) -> Result[JobView, Failure]:
        """Takes over a job whose record names this zone as its home."""
        fetched = await self._job_store.fetch(transfer.job_id)
        if isinstance(fetched, Err):
            return Err(self._store_failure(fetched.err_value))
        stored = fetched.ok_value
        if stored is None:
            return Err(self._unknown_job(transfer.job_id))
        job = stored.job
        if job.home != self._tenure.zone or job.generation != transfer.generation:
            return Err(self._wrong_home(job))
        registered = await self._ensure_journalled(job)
        return registered.map(lambda registration: registration.job)

    async def _handle_known_job(
        self, submission: JobSubmission, job: JobRecord
    ) -> Result[JobRegistration, Failure]:
        if job.content_digest != content_digest_of(submission):
            return Err(self._key_reused(submission))
        # The journal entry of the job may not be durable yet.
        lost = await self._wait(self._committer.barrier())
        if lost is not None:
            return Err(lost)
        return Ok(JobRegistration(job.view(), created=False))

    async def _adopt_existing(
        self, submission: JobSubmission
    ) -> Result[JobRegistration, Failure]:
        """Handles a submission whose job is in the store but not in this shard."""
        fetched = await self._job_store.fetch(job_id_of(submission))
        if isinstance(fetched, Err):
            return Err(self._store_failure(fetched.err_value))
        stored = fetched.ok_value
        if stored is None:
            return Err(self._unknown_job(job_id_of(submission)))
        return await self._adopt_stored(submission, stored)

    async def _adopt_stored(
        self, submission: JobSubmission, stored: StoredJob
    ) -> Result[JobRegistration, Failure]:
        job = stored.job
        if job.content_digest != content_digest_of(submission):
            return Err(self._key_reused(submission))
        if job.is_final:
            return Ok(JobRegistration(job.view(), created=False))
        if job.home != self._tenure.zone:
            return Err(self._wrong_home(job))
        return await self._ensure_journalled(job)

    async def _ensure_journalled(
        self, job: JobRecord
    ) -> Result[JobRegistration, Failure]:
        """Journals a job unless the shard already has it."""
        known = self._table.jobs.get(job.job_id)
        if known is None and not job.is_final:
            return await self._accept(job, created=False)
        if known is not None and known.generation < job.generation:
            # The shard still has the state from before the job moved away.
            self._committer.commit(JobDropped(job.job_id))
            return await self._accept(job, created=False)
        lost = await self._wait(self._committer.barrier())
        if lost is not None:
            return Err(lost)
        return Ok(JobRegistration((known or job).view(), created=False))

    async def _accept(
        self, job: JobRecord, *, created: bool
    ) -> Result[JobRegistration, Failure]:
        durable = self._committer.commit(JobAccepted(job))
        lost = await self._wait(durable)
        if lost is not None:
            return Err(lost)
        _LOG.info('job accepted', extra={'job': job.job_id, 'zone': job.home})
        return Ok(JobRegistration(job.view(), created=created))

    async def _wait(self, durable: 'asyncio.Future[None]') -> Failure | None:
        try:
            await asyncio.shield(durable)
        except ShardLostError as error:
            return Failure.unknown(
                Step.REGISTER,
                self._tenure.owner,
                f'the shard changed its owner: {error}',
                'ask for the job by its key, or submit it again with the same key',
            )
        return None

    def _new_job(self, submission: JobSubmission, entry: CatalogueEntry) -> JobRecord:
        job_id = job_id_of(submission)
        tasks = [
            TaskRecord(task_id_of(job_id, index), payload)
            for index, payload in enumerate(submission.payloads)
        ]
        return JobRecord(
            job_id=job_id,
            tenant=submission.tenant,
            key=submission.key,
            content_digest=content_digest_of(submission),
            nonce=self._random.bytes(_NONCE_BYTES).hex(),
            spec=_spec_of(entry),
            home=self._tenure.zone,
            generation=0,
            accepted_at=self._clock.now(),
            tasks=tasks,
        )

    def _unknown_entry(self, submission: JobSubmission) -> ShardFailure:
        return self._refuse(
            f'the catalogue has no entry {submission.entry!r}',
            FailureReason.UNKNOWN_ENTRY,
            'apply the entry, or use one that chiveworks catalogue get lists',
        )

    def _unknown_job(self, job_id: JobId) -> ShardFailure:
        return self._refuse(
            f'zone {self._tenure.zone} has no job {job_id}', FailureReason.UNKNOWN_JOB
        )

    def _key_reused(self, submission: JobSubmission) -> ShardFailure:
        return self._refuse(
            f'key {submission.key!r} belongs to a job with other contents',
            FailureReason.KEY_REUSED,
            'use another key',
        )

    def _wrong_home(self, job: JobRecord) -> ShardFailure:
        return self._refuse(
            f'job {job.job_id} has its home in zone {job.home}, '
            f'generation {job.generation}',
            FailureReason.CONFLICT,
        )

    def _refuse(
        self, message: str, reason: FailureReason, next_step: str = ''
    ) -> ShardFailure:
        return ShardFailure(
            Verdict.NOT_RUN,
            Step.REGISTER,
            self._tenure.owner,
            message,
            next_step,
            reason=reason,
        )

    def _store_failure(self, failure: Failure) -> ShardFailure:
        return ShardFailure(
            failure.verdict,
            failure.step,
            failure.peer,
            failure.message,
            'submit the job again with the same key',
            reason=FailureReason.STORE_UNAVAILABLE,
        )


def _spec_of(entry: CatalogueEntry) -> TaskSpec:
    return TaskSpec(
        entry=entry.name,
        owner=entry.owner,
        kind=entry.kind or entry.name,
        resources=entry.resources,
        idempotent=entry.idempotent,
        can_checkpoint=entry.can_checkpoint,
        retry_limit=entry.retry_limit,
        urgent=entry.priority is Priority.URGENT,
        deadline_ms=entry.deadline_ms,
    )
