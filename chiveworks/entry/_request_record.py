"""Stored record and claim of an idempotency key."""

from dataclasses import dataclass

import msgpack

from chiveworks.base import RequestId, Revision, StoreLeaseId


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """Stored record of an idempotency key.

    Attributes:
        nonce: Random id of the claim; all attempts to write the claim share it.
        request_id: Id of the request that holds the key.
        state: `running`, `answered` or `outcome_unknown`.
        status: HTTP status of the response, 0 if there is none.
        claimed_at: Wall-clock time of the claim in ISO 8601, informational only.
    """

    nonce: str
    request_id: RequestId
    state: str
    status: int
    claimed_at: str

    def pack(self) -> bytes:
        """Serializes the record."""
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
        """Deserializes a record."""
        nonce, request_id, state, status, claimed_at = msgpack.unpackb(stored)
        return cls(nonce, request_id, state, status, claimed_at)


@dataclass(frozen=True, slots=True)
class RequestClaim:
    """An idempotency key that a request of this process holds.

    Attributes:
        key: Key in the store.
        revision: Revision of the stored record.
        record: The stored record.
        lease: Store lease whose expiry removes the record.
    """

    key: str
    revision: Revision
    record: RequestRecord
    lease: StoreLeaseId
