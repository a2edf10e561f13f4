"""Accepts and cancels jobs and reports their state, using only the store."""

import enum
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import Final

from result import Err

from chiveworks.base import Clock, JobId, Revision, Verdict
from chiveworks.events import EventLog
from chiveworks.intake._unservable_job import UnservableJob
from chiveworks.metastore import (
    PENDING_KEY,
    Committed,
    MetadataStore,
    StoreItem,
    Transaction,
    job_key,
    progress_key,
)
from chiveworks.workflow import (
    JobState,
    Submission,
    decode_counts,
    decode_record,
    encode_submission,
)

#: Time after which the outcome of a write without a response is reported as unknown.
#: Clients time out after 3 s and repeat the request, whose job id then resolves it.
RESOLVE_TIMEOUT: Final = timedelta(milliseconds=1000)
#: Pause before a write without a response is retried.
RETRY_PAUSE: Final = timedelta(milliseconds=40)
#: Time for which counts read from the store are cached. The platform allows counts
#: to be 2 s old, and the leader publishes them every 0.7 s.
COUNT_CACHE_TTL: Final = timedelta(milliseconds=500)
#: Age of the published counts, by wall-clock time, beyond which they are treated as
#: unknown. Allows for a clock difference of 2 s and stays below the 5 s after which
#: the platform requires a job to be counted.
MAX_PUBLISHED_AGE: Final = timedelta(seconds=3)


class IntakeVerdict(enum.Enum):
    """Outcome of a client request."""

    ACCEPTED = 'accepted'
    #: The request had no effect; the client may retry it.
    REFUSED = 'refused'
    #: The request may or may not have had an effect.
    UNKNOWN = 'unknown'
    NOT_FOUND = 'not_found'
    #: The stored record of the job cannot be read.
    UNREADABLE = 'unreadable'


_FINAL_CANCEL_VERDICTS: Final = frozenset(
    (IntakeVerdict.ACCEPTED, IntakeVerdict.NOT_FOUND, IntakeVerdict.UNREADABLE)
)


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
        self._counts: dict[str, int] = {}
        self._counted_at: timedelta | None = None

    async def submit(self, submission: Submission) -> IntakeVerdict | UnservableJob:
        """Stores a job; idempotent, as a repeated submission has the same job id.

        A job that no worker can run is not stored. One that has been accepted stays so.
        """
        outcome = await self._accept_or_refuse(submission)
        fields = {'job': submission.job_id, 'queue': submission.queue.name}
        if isinstance(outcome, UnservableJob):
            fields.update(outcome='unservable', reason=outcome.reason)
        else:
            fields.update(outcome=outcome.value)
        self._log.write('job_submitted', **fields)
        return outcome

    async def cancel(self, job_id: JobId) -> IntakeVerdict:
        """Records the cancellation of a job in the store."""
        deadline = self._clock.monotonic() + RESOLVE_TIMEOUT
        verdict = IntakeVerdict.REFUSED
        while self._available() and self._clock.monotonic() < deadline:
            verdict = await self._try_cancel(job_id)
            if verdict in _FINAL_CANCEL_VERDICTS:
                break
            await self._clock.sleep(RETRY_PAUSE)
        self._log.write('cancel_requested', job=job_id, outcome=verdict.value)
        return verdict

    async def state(self, job_id: JobId) -> JobState | IntakeVerdict:
        """Returns the state of a job, or a verdict if it cannot be determined."""
        result = await self._store.read(job_key(job_id))
        if isinstance(result, Err):
            return IntakeVerdict.REFUSED
        item = result.ok_value
        if item.content is None:
            return IntakeVerdict.NOT_FOUND
        record = self._decode_record(job_id, item.content)
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

        A job is pending until one of its tasks is claimed or the job ends.
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

    async def _accept_or_refuse(
        self, submission: Submission
    ) -> IntakeVerdict | UnservableJob:
        if not self._available():
            return IntakeVerdict.REFUSED
        key = job_key(submission.job_id)
        reason = self._refusal_reason(submission)
        if reason and await self._is_absent(key):
            return UnservableJob(reason)
        content = encode_submission(submission)
        return await self._write(Transaction({key: Revision(0)}, {key: content}))

    async def _is_absent(self, key: str) -> bool:
        """Tells whether a key is certainly not in the store."""
        stored = await self._store.read(key)
        return not isinstance(stored, Err) and stored.ok_value.content is None

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
        self, job_id: JobId, stored: bytes
    ) -> Submission | JobState | IntakeVerdict:
        try:
            return decode_record(job_id, stored)
        except ValueError as error:
            self._log.write('entry_skipped', key=job_key(job_id), reason=str(error))
            return IntakeVerdict.UNREADABLE

    async def _write(self, transaction: Transaction) -> IntakeVerdict:
        deadline = self._clock.monotonic() + RESOLVE_TIMEOUT
        sent = False
        while self._clock.monotonic() < deadline:
            result = await self._store.commit(transaction)
            if not isinstance(result, Err):
                # A conflict means that the job is already stored.
                return IntakeVerdict.ACCEPTED
            if result.err_value.verdict is Verdict.OUTCOME_UNKNOWN:
                sent = True
            elif not sent:
                return IntakeVerdict.REFUSED
            await self._clock.sleep(RETRY_PAUSE)
        return IntakeVerdict.UNKNOWN

    async def _try_cancel(self, job_id: JobId) -> IntakeVerdict:
        key = job_key(job_id)
        result = await self._store.read(key)
        if isinstance(result, Err):
            return IntakeVerdict.UNKNOWN
        item = result.ok_value
        if item.content is None:
            return IntakeVerdict.NOT_FOUND
        record = self._decode_record(job_id, item.content)
        if isinstance(record, IntakeVerdict):
            return record
        if isinstance(record, JobState) or record.cancelled:
            return IntakeVerdict.ACCEPTED
        transaction = Transaction(
            expected={key: item.revision},
            writes={key: encode_submission(replace(record, cancelled=True))},
        )
        outcome = await self._store.commit(transaction)
        if not isinstance(outcome, Err) and isinstance(outcome.ok_value, Committed):
            return IntakeVerdict.ACCEPTED
        return IntakeVerdict.UNKNOWN
