"""Stores the first record of a job, whatever answers of the store are lost."""

from datetime import timedelta
from typing import Final

from result import Err

from chiveworks.base import Clock, JobId, Revision, Verdict
from chiveworks.events import EventLog
from chiveworks.intake._caller import Caller
from chiveworks.intake._intake_verdict import IntakeVerdict
from chiveworks.intake._retry_policy import RESOLVE_TIMEOUT, RETRY_PAUSE
from chiveworks.metastore import (
    Committed,
    Conflict,
    MetadataStore,
    StoreItem,
    Transaction,
    job_key,
)
from chiveworks.workflow import (
    Submission,
    Tombstone,
    decode_record,
    encode_submission,
    encode_tombstone,
)

_ABSENT: Final = Revision(0)


class RecordCreator:
    """Writes submissions, and tombstones of refused jobs.

    Args:
        store: Metadata store that holds the jobs.
        clock: Source of time.
        log: Log for records that cannot be read.
    """

    def __init__(self, store: MetadataStore, clock: Clock, log: EventLog) -> None:
        self._store = store
        self._clock = clock
        self._log = log

    async def create(
        self,
        job_id: JobId,
        record: Submission | Tombstone,
        caller: Caller | None = None,
    ) -> IntakeVerdict:
        """Stores a record unless the job has one that must stay.

        Args:
            job_id: Id of the job.
            record: Record to store.
            caller: Who asks for it; None if the job may belong to anybody.

        Returns:
            `ACCEPTED` if the job is stored, `WITHDRAWN` if a tombstone is, `FOREIGN` if
            a job of another account is, `REFUSED` if nothing was done, or `UNKNOWN`.
        """
        key, content = job_key(job_id), _encode(record)
        expected = _ABSENT
        deadline = self._clock.monotonic() + RESOLVE_TIMEOUT
        while self._clock.monotonic() < deadline:
            transaction = Transaction({key: expected}, {key: content})
            outcome, repeated = await self._commit(transaction, deadline)
            if isinstance(outcome, IntakeVerdict):
                return outcome
            if isinstance(outcome, Committed):
                return _verdict_of(record)
            present = outcome.items.get(key, StoreItem(key, _ABSENT, None))
            verdict = self._lasting_verdict(job_id, present, caller)
            if verdict is not None:
                return verdict
            if repeated and present.content and isinstance(record, Submission):
                # The job was refused after this submission had begun.
                return IntakeVerdict.REFUSED
            expected = present.revision
        return IntakeVerdict.UNKNOWN

    async def _commit(
        self, transaction: Transaction, deadline: timedelta
    ) -> tuple[Committed | Conflict | IntakeVerdict, bool]:
        """Commits a transaction; also tells whether an earlier attempt may be applied."""
        sent = False
        while self._clock.monotonic() < deadline:
            result = await self._store.commit(transaction)
            if not isinstance(result, Err):
                return result.ok_value, sent
            if result.err_value.verdict is Verdict.OUTCOME_UNKNOWN:
                sent = True
            elif not sent:
                return IntakeVerdict.REFUSED, sent
            await self._clock.sleep(RETRY_PAUSE)
        return IntakeVerdict.UNKNOWN, sent

    def _lasting_verdict(
        self, job_id: JobId, present: StoreItem, caller: Caller | None
    ) -> IntakeVerdict | None:
        """Returns the verdict if the present record must stay; None if it may not."""
        if present.content is None:
            return None
        try:
            record = decode_record(job_id, present.content)
        except ValueError as error:
            self._log.write('entry_skipped', key=present.key, reason=str(error))
            return IntakeVerdict.ACCEPTED
        if caller and not caller.may_use(record, present.content):
            return IntakeVerdict.FOREIGN
        if not isinstance(record, Tombstone):
            return IntakeVerdict.ACCEPTED
        return IntakeVerdict.WITHDRAWN if record.cancelled else None


def _encode(record: Submission | Tombstone) -> bytes:
    if isinstance(record, Tombstone):
        return encode_tombstone(record)
    return encode_submission(record)


def _verdict_of(record: Submission | Tombstone) -> IntakeVerdict:
    if isinstance(record, Tombstone):
        return IntakeVerdict.WITHDRAWN
    return IntakeVerdict.ACCEPTED
