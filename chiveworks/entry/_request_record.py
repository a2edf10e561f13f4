"""What the store holds about an idempotency key."""

from dataclasses import dataclass

import msgpack

from chiveworks.base import RequestId, Revision, StoreLeaseId


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
        lease: Store lease that removes it in the end.
    """

    key: str
    revision: Revision
    record: RequestRecord
    lease: StoreLeaseId
