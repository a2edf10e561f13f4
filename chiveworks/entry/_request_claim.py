"""Claims of idempotency keys in the store."""

import uuid
from dataclasses import dataclass
from datetime import datetime, timedelta

import msgpack
import xxhash
from result import Err, Ok, Result

from chiveworks.base import (
    Clock,
    EntryName,
    Failure,
    RequestId,
    Revision,
    Step,
    TenantName,
    Verdict,
)
from chiveworks.store import Store, StoreConflict, StoreEntry

_PREFIX = 'requests/'
#: Writes tried until the claim's fate is known, and until an outcome is recorded.
_TRIES = 3
_PAUSE = timedelta(milliseconds=50)


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """What the store holds about a key.

    Attributes:
        nonce: Tells the writer's own claim from another's.
        request_id: Id of the request that holds the key.
        state: `running`, `answered` or `outcome_unknown`.
        status: HTTP status of the answer, 0 until there is one.
        claimed_at: Wall-clock time of the claim, for people.
    """

    nonce: str
    request_id: RequestId
    state: str
    status: int
    claimed_at: str

    def pack(self) -> bytes:
        """Returns the stored form."""
        fields = (
            self.nonce,
            self.request_id,
            self.state,
            self.status,
            self.claimed_at,
        )
        return bytes(msgpack.packb(fields))

    @classmethod
    def unpack(cls, stored: bytes) -> 'RequestRecord':
        """Reads the stored form."""
        nonce, request_id, state, status, claimed_at = msgpack.unpackb(stored)
        return cls(nonce, request_id, state, status, claimed_at)


@dataclass(frozen=True, slots=True)
class RequestClaim:
    """A key held by a request of this process.

    Attributes:
        key: Key in the store.
        revision: Its revision.
        record: Its contents.
    """

    key: str
    revision: Revision
    record: RequestRecord


class RequestClaims:
    """Creates claims by compare-and-swap and records what became of them."""

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def claim(
        self, tenant: TenantName, service: EntryName, key: str, request_id: RequestId
    ) -> Result[RequestClaim, RequestRecord | Failure]:
        """Claims a key.

        Returns:
            The claim; or the record of the request that holds the key; or a failure
            with the verdict "not run", since without a claim nothing is sent.
        """
        digest = xxhash.xxh3_128_hexdigest(f'{tenant}\n{service}\n{key}'.encode())
        at = _format(self._clock.now())
        nonce = uuid.uuid4().hex
        record = RequestRecord(nonce, request_id, 'running', 0, at)
        return await self._create(f'{_PREFIX}{digest}', record)

    async def record(self, claim: RequestClaim, state: str, status: int = 0) -> bool:
        """Records an outcome; tells whether the store has it."""
        old = claim.record
        new = RequestRecord(old.nonce, old.request_id, state, status, old.claimed_at)
        for _ in range(_TRIES):
            written = await self._store.compare_and_swap(
                claim.key, new.pack(), claim.revision
            )
            if written.is_ok() or isinstance(written.err(), StoreConflict):
                # A conflict means that an earlier try took effect after all:
                # nobody else changes the record.
                return True
            await self._clock.sleep(_PAUSE)
        return False

    async def withdraw(self, claim: RequestClaim) -> bool:
        """Frees the key of a request that was not run, for another try."""
        for _ in range(_TRIES):
            deleted = await self._store.delete(claim.key, claim.revision)
            if deleted.is_ok() or isinstance(deleted.err(), StoreConflict):
                return True
            await self._clock.sleep(_PAUSE)
        return False

    async def _create(
        self, key: str, record: RequestRecord
    ) -> Result[RequestClaim, RequestRecord | Failure]:
        failure = Failure.not_run(Step.CLAIM, 'store', 'the claim was not confirmed')
        for _ in range(_TRIES):
            written = await self._store.compare_and_swap(
                key, record.pack(), Revision(0)
            )
            if isinstance(written, Ok):
                return Ok(RequestClaim(key, written.ok_value, record))
            problem = written.err_value
            if isinstance(problem, Failure):
                failure = problem
                if problem.verdict is Verdict.NOT_RUN:
                    break
            # The answer was lost, or somebody holds the key, perhaps this very
            # request by an earlier write whose answer was lost.
            holder = await self._read(key)
            if isinstance(holder, Ok) and holder.ok_value is not None:
                return _settle(holder.ok_value, record)
            await self._clock.sleep(_PAUSE)
        return Err(_as_not_run(failure))

    async def _read(self, key: str) -> Result[StoreEntry | None, Failure]:
        found = await self._store.fetch(key)
        return found.map(lambda read: read.first())


def _settle(
    entry: StoreEntry, own: RequestRecord
) -> Result[RequestClaim, RequestRecord | Failure]:
    record = RequestRecord.unpack(entry.value)
    if record.nonce == own.nonce:
        return Ok(RequestClaim(entry.key, entry.mod_revision, own))
    return Err(record)


def _as_not_run(failure: Failure) -> Failure:
    return Failure.not_run(
        Step.CLAIM,
        failure.peer,
        f'the key could not be claimed: {failure.message}',
        'try again with the same key when the store is back',
    )


def _format(moment: datetime) -> str:
    return moment.isoformat(timespec='milliseconds')
