"""Claims idempotency keys in the store."""

import asyncio
import uuid
from collections.abc import Awaitable, Callable, Coroutine
from datetime import datetime, timedelta

import xxhash
from result import Err, Ok, Result

from chiveworks.base import (
    Clock,
    EntryName,
    Failure,
    RequestId,
    Revision,
    Step,
    StoreLeaseId,
    TenantName,
    Verdict,
)
from chiveworks.entry._request_record import RequestClaim, RequestRecord
from chiveworks.store import RetentionLease, Store, StoreConflict, StoreEntry

_PREFIX = 'requests/'
#: Minimum time for which a repeated key is recognized.
_RETENTION = timedelta(days=1)
#: Maximum attempts to write a claim while the outcome is unknown.
_CLAIM_ATTEMPTS = 3
_RETRY_DELAY = timedelta(milliseconds=50)
_MAX_RETRY_DELAY = timedelta(seconds=5)
#: With the delays above, a late claim is searched for during about a minute.
_REMOVAL_ATTEMPTS = 18
#: Bounds the memory used during a long outage of the store. Above the limit a write is
#: dropped and its key stays claimed, which is safe: nothing runs twice.
_MAX_BACKGROUND_TASKS = 10_000

_Write = Callable[[], Awaitable[Result[Revision, Failure | StoreConflict]]]


class RequestClaims:
    """Creates claims by compare-and-swap and records the outcomes of requests."""

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._retention = RetentionLease(store, clock, _RETENTION)
        self._background: set[asyncio.Task[None]] = set()

    async def claim(
        self, tenant: TenantName, service: EntryName, key: str, request_id: RequestId
    ) -> Result[RequestClaim, RequestRecord | Failure]:
        """Claims a key.

        Returns:
            The claim; or the record of the request that holds the key; or a failure
            with the verdict "not run", since no request is sent without a claim.
        """
        digest = xxhash.xxh3_128_hexdigest(f'{tenant}\n{service}\n{key}'.encode())
        at = _format(self._clock.now())
        nonce = uuid.uuid4().hex
        record = RequestRecord(nonce, request_id, 'running', 0, at)
        lease = await self._retention.current()
        if isinstance(lease, Err):
            return Err(_as_not_run(lease.err_value))
        return await self._create(f'{_PREFIX}{digest}', record, lease.ok_value)

    async def record(self, claim: RequestClaim, state: str, status: int = 0) -> None:
        """Records an outcome; if the store is down, retries in the background."""
        old = claim.record
        new = RequestRecord(old.nonce, old.request_id, state, status, old.claimed_at)
        await self._write_or_retry(
            lambda: self._store.compare_and_swap(
                claim.key, new.pack(), claim.revision, claim.lease
            )
        )

    async def release(self, claim: RequestClaim) -> None:
        """Deletes the claim of a request that was not run, to allow a retry."""
        await self._write_or_retry(
            lambda: self._store.delete(claim.key, claim.revision)
        )

    async def close(self) -> None:
        """Cancels the retries and the removals of late claims in the background."""
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)

    async def _write_or_retry(self, write: _Write) -> None:
        if not await _try_write(write):
            self._start(self._retry_until_written(write))

    async def _retry_until_written(self, write: _Write) -> None:
        delay = _RETRY_DELAY
        while True:
            await self._clock.sleep(delay)
            if await _try_write(write):
                return
            delay = min(delay * 2, _MAX_RETRY_DELAY)

    def _start(self, work: Coroutine[None, None, None]) -> None:
        if len(self._background) >= _MAX_BACKGROUND_TASKS:
            work.close()
            return
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _remove_late_claim(self, key: str, nonce: str) -> None:
        """Deletes a claim whose write took effect after the request was rejected."""
        for attempt in range(_REMOVAL_ATTEMPTS):
            await self._clock.sleep(min(_RETRY_DELAY * 2**attempt, _MAX_RETRY_DELAY))
            found = await self._read(key)
            if isinstance(found, Ok):
                entry = found.ok_value
                if entry and RequestRecord.unpack(entry.value).nonce == nonce:
                    await self._store.delete(key, entry.mod_revision)

    async def _create(
        self, key: str, record: RequestRecord, lease: StoreLeaseId
    ) -> Result[RequestClaim, RequestRecord | Failure]:
        failure = Failure.not_run(Step.CLAIM, 'store', 'no claim was attempted')
        may_be_written = False
        for _ in range(_CLAIM_ATTEMPTS):
            created = await self._try_create(key, record, lease)
            problem = created.err()
            if not isinstance(problem, Failure):
                return created
            failure = problem
            may_be_written = (
                may_be_written or problem.verdict is Verdict.OUTCOME_UNKNOWN
            )
            if not may_be_written:
                break
            await self._clock.sleep(_RETRY_DELAY)
        if may_be_written:
            self._start(self._remove_late_claim(key, record.nonce))
        return Err(_as_not_run(failure))

    async def _try_create(
        self, key: str, record: RequestRecord, lease: StoreLeaseId
    ) -> Result[RequestClaim, RequestRecord | Failure]:
        written = await self._store.compare_and_swap(
            key, record.pack(), Revision(0), lease
        )
        if isinstance(written, Ok):
            return Ok(RequestClaim(key, written.ok_value, record, lease))
        problem = written.err_value
        if isinstance(problem, Failure) and problem.verdict is Verdict.NOT_RUN:
            return Err(problem)
        # Either the response to the write was lost, or the key is already claimed,
        # possibly by an earlier write of this request whose response was lost.
        holder = await self._read(key)
        if isinstance(holder, Ok) and holder.ok_value is not None:
            return _claim_or_holder(holder.ok_value, record, lease)
        if isinstance(problem, Failure):
            return Err(problem)
        text = 'the key is in use, but its record cannot be read'
        return Err(Failure.not_run(Step.CLAIM, 'store', text))

    async def _read(self, key: str) -> Result[StoreEntry | None, Failure]:
        found = await self._store.fetch(key)
        return found.map(lambda read: read.first())


def _claim_or_holder(
    entry: StoreEntry, own: RequestRecord, lease: StoreLeaseId
) -> Result[RequestClaim, RequestRecord | Failure]:
    record = RequestRecord.unpack(entry.value)
    if record.nonce == own.nonce:
        return Ok(RequestClaim(entry.key, entry.mod_revision, own, lease))
    return Err(record)


async def _try_write(write: _Write) -> bool:
    """Attempts a write; returns whether it is known to have taken effect."""
    written = await write()
    # Nothing else changes the record, so a conflict means that an earlier attempt took
    # effect although its response was lost.
    return written.is_ok() or isinstance(written.err(), StoreConflict)


def _as_not_run(failure: Failure) -> Failure:
    return Failure.not_run(
        Step.CLAIM,
        failure.peer,
        f'the key could not be claimed: {failure.message}',
        'try again with the same key when the store is available',
    )


def _format(moment: datetime) -> str:
    return moment.isoformat(timespec='milliseconds')
