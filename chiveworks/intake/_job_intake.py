"""Accepts and cancels jobs and reports their state, using only the store."""

from collections.abc import Callable
from datetime import timedelta
from typing import Final

from result import Err

from chiveworks.base import Clock, JobId
from chiveworks.events import EventLog
from chiveworks.intake._caller import Caller
from chiveworks.intake._intake_verdict import IntakeVerdict
from chiveworks.intake._job_canceller import JobCanceller
from chiveworks.intake._record_creator import RecordCreator
from chiveworks.intake._unservable_job import UnservableJob
from chiveworks.metastore import (
    PENDING_KEY,
    MetadataStore,
    StoreItem,
    job_key,
    progress_key,
)
from chiveworks.workflow import (
    JobState,
    Submission,
    Tombstone,
    decode_counts,
    decode_record,
)

#: Time for which counts read from the store are cached. The platform allows counts
#: to be 2 s old, and the leader publishes them every 0.7 s.
COUNT_CACHE_TTL: Final = timedelta(milliseconds=500)
#: Age of the published counts, by wall-clock time, beyond which they are treated as
#: unknown. Allows for a clock difference of 2 s and stays below the 5 s after which
#: the platform requires a job to be counted.
MAX_PUBLISHED_AGE: Final = timedelta(seconds=3)


def _always_available() -> bool:
    return True


def _never_refused(_submission: Submission) -> str:
    return ''


class JobIntake:
    """Handles client requests by reading and writing the metadata store.

    Args:
        store: Metadata store that holds the jobs.
        clock: Source of time.
        log: Log for the outcome of each request.
        available: Returns whether the store is likely to respond.
        refusal_reason: Returns why no worker can ever run a job; empty if one may.
    """

    def __init__(
        self,
        store: MetadataStore,
        clock: Clock,
        log: EventLog,
        available: Callable[[], bool] = _always_available,
        refusal_reason: Callable[[Submission], str] = _never_refused,
    ) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._available = available
        self._refusal_reason = refusal_reason
        self._creator = RecordCreator(store, clock, log)
        self._canceller = JobCanceller(store, clock, log, available)
        self._counts: dict[str, int] = {}
        self._counted_at: timedelta | None = None

    async def submit(
        self, submission: Submission, caller: Caller | None = None
    ) -> IntakeVerdict | UnservableJob:
        """Stores a job; idempotent, as a repeated submission has the same job id.

        A job that no worker can run is not stored. One that has been accepted stays so.

        Args:
            submission: The job.
            caller: Who submits it; None if the job may belong to anybody.
        """
        outcome = await self._accept_or_refuse(submission, caller)
        fields = {'job': submission.job_id, 'queue': submission.queue.name}
        if submission.account:
            fields['account'] = submission.account
        if isinstance(outcome, UnservableJob):
            fields.update(outcome='unservable', reason=outcome.reason)
        else:
            fields.update(outcome=outcome.value)
        self._write_outcome('job_submitted', fields)
        return outcome

    async def cancel(
        self, job_id: JobId, caller: Caller | None = None
    ) -> IntakeVerdict:
        """Cancels a job; see `JobCanceller.cancel`."""
        verdict = await self._canceller.cancel(job_id, caller)
        fields = {'job': job_id, 'outcome': verdict.value}
        self._write_outcome('cancel_requested', fields)
        return verdict

    async def state(
        self, job_id: JobId, caller: Caller | None = None
    ) -> JobState | IntakeVerdict:
        """Returns the state of a job, or a verdict if it cannot be determined."""
        result = await self._store.read(job_key(job_id))
        if isinstance(result, Err):
            return IntakeVerdict.REFUSED
        item = result.ok_value
        if item.content is None:
            return IntakeVerdict.NOT_FOUND
        record = self._decode_record(job_id, item.content, caller)
        if isinstance(record, JobState | IntakeVerdict):
            return record
        if record.cancelled:
            return JobState.CANCELLED
        progress = await self._store.read(progress_key(job_id), stale=True)
        if isinstance(progress, Err) or progress.ok_value.content is None:
            return JobState.QUEUED
        return JobState.RUNNING

    async def pending(self, queue: str) -> int | None:
        """Returns the number of pending jobs in a queue; None if unknown.

        A job is pending until one of its tasks has begun or the job ends.
        """
        now = self._clock.monotonic()
        if self._counted_at is None or now - self._counted_at > COUNT_CACHE_TTL:
            result = await self._store.read(PENDING_KEY)
            if isinstance(result, Err):
                return None
            counts = self._decode_counts(result.ok_value)
            if counts is None:
                return None
            self._counts = counts
            self._counted_at = now
        return self._counts.get(queue, 0)

    def _write_outcome(self, event: str, fields: dict[str, str]) -> None:
        if fields['outcome'] == IntakeVerdict.FOREIGN.value:
            self._log.write_sparse(event, IntakeVerdict.FOREIGN.value, **fields)
        else:
            self._log.write(event, **fields)

    async def _accept_or_refuse(
        self, submission: Submission, caller: Caller | None
    ) -> IntakeVerdict | UnservableJob:
        if not self._available():
            return IntakeVerdict.REFUSED
        reason = self._refusal_reason(submission)
        if not reason:
            return await self._creator.create(submission.job_id, submission, caller)
        # An earlier submission, whose response was lost, may still be applied by the
        # store, so it would not do to read that there is no such job.
        verdict = await self._creator.create(
            submission.job_id, Tombstone(cancelled=False), caller
        )
        return UnservableJob(reason) if verdict is IntakeVerdict.WITHDRAWN else verdict

    def _decode_counts(self, item: StoreItem) -> dict[str, int] | None:
        if item.content is None:
            return {}
        try:
            counts, counted_at = decode_counts(item.content)
        except ValueError as error:
            self._log.write('entry_skipped', key=PENDING_KEY, reason=str(error))
            return None
        # Without a leader, the counts are not updated although jobs are accepted.
        fresh = abs(self._clock.now() - counted_at) <= MAX_PUBLISHED_AGE
        return counts if fresh else None

    def _decode_record(
        self, job_id: JobId, stored: bytes, caller: Caller | None
    ) -> Submission | JobState | IntakeVerdict:
        try:
            record = decode_record(job_id, stored)
        except ValueError as error:
            self._log.write('entry_skipped', key=job_key(job_id), reason=str(error))
            return IntakeVerdict.UNREADABLE
        if caller and not caller.may_use(record, stored):
            return IntakeVerdict.FOREIGN
        return IntakeVerdict.NOT_FOUND if isinstance(record, Tombstone) else record
