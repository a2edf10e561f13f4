"""One record of the journal."""

from dataclasses import dataclass

import msgpack

from chiveworks.base import Epoch


@dataclass(frozen=True, slots=True)
class JournalRecord:
    """A batch of changes that one owner wrote at one number.

    Attributes:
        number: Position in the journal, from 1 without gaps.
        epoch: Epoch of the shard owner that wrote it.
        nonce: Random text that tells this write from any other at its number.
        changes: Encoded changes, in order.
    """

    number: int
    epoch: Epoch
    nonce: str
    changes: tuple[bytes, ...]

    def encode(self) -> bytes:
        """Returns the record in its stored form."""
        return bytes(
            msgpack.packb([self.number, self.epoch, self.nonce, list(self.changes)])
        )

    @classmethod
    def decode(cls, stored: bytes) -> 'JournalRecord':
        """Reads the stored form."""
        number, epoch, nonce, changes = msgpack.unpackb(stored)
        return cls(number, Epoch(epoch), nonce, tuple(changes))
