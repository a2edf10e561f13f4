"""Takes jobs in, cancels them and tells their state, through the store alone."""

import enum
from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import Final

from result import Err

from chiveworks.base import Clock, JobId, Revision, Verdict
from chiveworks.events import EventLog
from chiveworks.metastore import (
    PENDING_KEY,
    Change,
    Committed,
    MetadataStore,
    StoreItem,
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

#: Time after which a write without an answer is reported as unknown. Clients wait
#: 3 s and repeat the request, which is then resolved by its id.
RESOLVE_LIMIT: Final = timedelta(milliseconds=1000)
#: Pause before an unanswered write is sent again.
RETRY_PAUSE: Final = timedelta(milliseconds=40)
#: Age up to which published counts are given out; the platform allows 2 s, and
#: the leader publishes every 0.7 s.
COUNT_AGE: Final = timedelta(milliseconds=500)
#: Age of a publication, by the time of day, past which the number is not known.
#: It allows for clocks that differ by 2 s and stays below the 5 s after which the
#: platform's rule counts a job.
PUBLISHED_AGE: Final = timedelta(seconds=3)


class IntakeVerdict(enum.Enum):
    """What became of a request."""

    ACCEPTED = 'accepted'
    #: Certainly without effect; the client may come back.
    REFUSED = 'refused'
    #: It may or may not have had an effect.
    UNKNOWN = 'unknown'
    NOT_FOUND = 'not_found'


def _always() -> bool:
    return True


class JobIntake:
    """Requests of clients, each answered from the store.

    Args:
        store: Where jobs are kept.
        clock: Source of time.
        log: Where decisions are written.
        available: Tells whether the store is likely to answer.
    """

    def __init__(
        self,
        store: MetadataStore,
        clock: Clock,
        log: EventLog,
        available: Callable[[], bool] = _always,
    ) -> None:
        self._store = store
        self._clock = clock
        self._log = log
        self._available = available
        self._counts: dict[str, int] = {}
        self._counted_at: timedelta | None = None

    async def submit(self, submission: Submission) -> IntakeVerdict:
        """Stores a job; a repeated submission finds the same job."""
        key = job_key(submission.job_id)
        change = Change(
            expected={key: Revision(0)}, writes={key: encode_submission(submission)}
        )
        if self._available():
            verdict = await self._write(change)
        else:
            verdict = IntakeVerdict.REFUSED
        self._log.write(
            'job_submitted',
            job=submission.job_id,
            queue=submission.queue.name,
            outcome=verdict.value,
        )
        return verdict

    async def cancel(self, job_id: JobId) -> IntakeVerdict:
        """Stores that a job is cancelled."""
        deadline = self._clock.monotonic() + RESOLVE_LIMIT
        verdict = IntakeVerdict.REFUSED
        while self._available() and self._clock.monotonic() < deadline:
            verdict = await self._try_cancel(job_id)
            if verdict in {IntakeVerdict.ACCEPTED, IntakeVerdict.NOT_FOUND}:
                break
            await self._clock.sleep(RETRY_PAUSE)
        self._log.write('cancel_requested', job=job_id, outcome=verdict.value)
        return verdict

    async def state(self, job_id: JobId) -> JobState | IntakeVerdict:
        """Returns the state of a job; a verdict when there is none to tell."""
        answer = await self._store.read(job_key(job_id))
        if isinstance(answer, Err):
            return IntakeVerdict.REFUSED
        item = answer.ok_value
        if item.content is None:
            return IntakeVerdict.NOT_FOUND
        record = decode_record(job_id, item.content)
        if isinstance(record, JobState):
            return record
        if record.cancelled:
            return JobState.CANCELLED
        progress = await self._store.read(progress_key(job_id), stale=True)
        if isinstance(progress, Err) or progress.ok_value.content is None:
            return JobState.QUEUED
        return JobState.RUNNING

    async def pending(self, queue: str) -> int | None:
        """Returns the number of a queue's jobs that wait; None when not known."""
        now = self._clock.monotonic()
        if self._counted_at is None or now - self._counted_at > COUNT_AGE:
            answer = await self._store.read(PENDING_KEY)
            if isinstance(answer, Err):
                return None
            counts = self._decode_counts(answer.ok_value)
            if counts is None:
                return None
            self._counts = counts
            self._counted_at = now
        return self._counts.get(queue, 0)

    def _decode_counts(self, item: StoreItem) -> dict[str, int] | None:
        if item.content is None:
            return {}
        counts, counted_at = decode_counts(item.content)
        # Without a leader the counts stand still while jobs are accepted.
        fresh = abs(self._clock.now() - counted_at) <= PUBLISHED_AGE
        return counts if fresh else None

    async def _write(self, change: Change) -> IntakeVerdict:
        deadline = self._clock.monotonic() + RESOLVE_LIMIT
        sent = False
        while self._clock.monotonic() < deadline:
            answer = await self._store.commit(change)
            if not isinstance(answer, Err):
                # A conflict says that the job is there already.
                return IntakeVerdict.ACCEPTED
            if answer.err_value.verdict is Verdict.OUTCOME_UNKNOWN:
                sent = True
            elif not sent:
                return IntakeVerdict.REFUSED
            await self._clock.sleep(RETRY_PAUSE)
        return IntakeVerdict.UNKNOWN

    async def _try_cancel(self, job_id: JobId) -> IntakeVerdict:
        key = job_key(job_id)
        answer = await self._store.read(key)
        if isinstance(answer, Err):
            return IntakeVerdict.UNKNOWN
        item = answer.ok_value
        if item.content is None:
            return IntakeVerdict.NOT_FOUND
        record = decode_record(job_id, item.content)
        if isinstance(record, JobState) or record.cancelled:
            return IntakeVerdict.ACCEPTED
        change = Change(
            expected={key: item.revision},
            writes={key: encode_submission(replace(record, cancelled=True))},
        )
        outcome = await self._store.commit(change)
        if not isinstance(outcome, Err) and isinstance(outcome.ok_value, Committed):
            return IntakeVerdict.ACCEPTED
        return IntakeVerdict.UNKNOWN
