"""One record of the journal."""

from dataclasses import dataclass

import msgpack

from chiveworks.base import Epoch


@dataclass(frozen=True, slots=True)
class JournalRecord:
    """A batch of changes written by one owner under one record number.

    Attributes:
        number: Position in the journal, starting at 1, without gaps.
        epoch: Epoch of the shard owner that wrote it.
        nonce: Random text that distinguishes this write from any other under the
            same number.
        changes: Encoded changes, in order.
    """

    number: int
    epoch: Epoch
    nonce: str
    changes: tuple[bytes, ...]

    def encode(self) -> bytes:
        """Encodes the record for the store."""
        return bytes(
            msgpack.packb([self.number, self.epoch, self.nonce, list(self.changes)])
        )

    @classmethod
    def decode(cls, stored: bytes) -> 'JournalRecord':
        """Decodes a record from the store."""
        number, epoch, nonce, changes = msgpack.unpackb(stored)
        return cls(number, Epoch(epoch), nonce, tuple(changes))
