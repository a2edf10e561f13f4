"""Cancels jobs, also those whose submission the store may still apply."""

from collections.abc import Callable
from dataclasses import replace
from typing import Final

from result import Err

from chiveworks.base import Clock, JobId, TokenBucket
from chiveworks.events import EventLog
from chiveworks.intake._caller import Caller
from chiveworks.intake._intake_verdict import IntakeVerdict
from chiveworks.intake._retry_policy import RESOLVE_TIMEOUT, RETRY_PAUSE
from chiveworks.metastore import (
    Committed,
    MetadataStore,
    StoreItem,
    Transaction,
    job_key,
)
from chiveworks.workflow import (
    JobState,
    Submission,
    Tombstone,
    decode_record,
    encode_submission,
    encode_tombstone,
)

#: Tombstones that a process may write per second, and in a burst. It bounds the writes
#: and the records that cancellations of unknown ids cost the store.
TOMBSTONES_PER_S: Final = 10
TOMBSTONE_BURST: Final = 40

_FINAL_VERDICTS: Final = frozenset(
    (
        IntakeVerdict.ACCEPTED,
        IntakeVerdict.NOT_FOUND,
        IntakeVerdict.UNREADABLE,
        IntakeVerdict.THROTTLED,
        IntakeVerdict.FOREIGN,
    )
)


class JobCanceller:
    """Marks stored jobs as cancelled, and writes tombstones for the others.

    A job that is not in the store may have been submitted all the same: the store can
    apply a write seconds after its response was lost. Without a tombstone, such a job
    would run although its cancellation was acknowledged.

    Args:
        store: Metadata store that holds the jobs.
        clock: Source of time.
        log: Log for records that cannot be read.
        available: Returns whether the store is likely to respond.
    """

    def __init__(
        self,
        store: MetadataStore,
        clock: Clock,
        log: EventLog,
        available: Callable[[], bool],
    ) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._available = available
        self._tombstones = TokenBucket(
            TOMBSTONES_PER_S, TOMBSTONE_BURST, clock.monotonic()
        )

    async def cancel(
        self, job_id: JobId, caller: Caller | None = None
    ) -> IntakeVerdict:
        """Cancels a job; the result is `NOT_FOUND` once it can no longer be stored.

        Args:
            job_id: Id of the job.
            caller: Who cancels it; None if the job may belong to anybody.
        """
        deadline = self._clock.monotonic() + RESOLVE_TIMEOUT
        verdict = IntakeVerdict.REFUSED
        while self._available() and self._clock.monotonic() < deadline:
            verdict = await self._try_cancel(job_id, caller)
            if verdict in _FINAL_VERDICTS:
                break
            await self._clock.sleep(RETRY_PAUSE)
        return verdict

    async def _try_cancel(self, job_id: JobId, caller: Caller | None) -> IntakeVerdict:
        result = await self._store.read(job_key(job_id))
        if isinstance(result, Err):
            return IntakeVerdict.UNKNOWN
        item = result.ok_value
        if item.content is None:
            return await self._bury(item)
        try:
            record = decode_record(job_id, item.content)
        except ValueError as error:
            self._log.write('entry_skipped', key=item.key, reason=str(error))
            return IntakeVerdict.UNREADABLE
        if caller and not caller.may_use(record, item.content):
            return IntakeVerdict.FOREIGN
        if isinstance(record, Tombstone):
            return (
                IntakeVerdict.NOT_FOUND if record.cancelled else await self._bury(item)
            )
        if isinstance(record, JobState) or record.cancelled:
            return IntakeVerdict.ACCEPTED
        return await self._mark_cancelled(item, record)

    async def _mark_cancelled(
        self, item: StoreItem, submission: Submission
    ) -> IntakeVerdict:
        cancelled = encode_submission(replace(submission, cancelled=True))
        if await self._replace(item, cancelled):
            return IntakeVerdict.ACCEPTED
        return IntakeVerdict.UNKNOWN

    async def _bury(self, item: StoreItem) -> IntakeVerdict:
        """Writes a tombstone for a job that was not stored."""
        if self._tombstones.try_take(self._clock.monotonic()) is not None:
            return IntakeVerdict.THROTTLED
        if await self._replace(item, encode_tombstone(Tombstone(cancelled=True))):
            return IntakeVerdict.NOT_FOUND
        return IntakeVerdict.UNKNOWN

    async def _replace(self, item: StoreItem, content: bytes) -> bool:
        """Tells whether a record was certainly replaced by new content."""
        result = await self._store.commit(
            Transaction({item.key: item.revision}, {item.key: content})
        )
        return not isinstance(result, Err) and isinstance(result.ok_value, Committed)
