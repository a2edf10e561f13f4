"""One part of a snapshot; a snapshot can exceed the store's value limit."""

from dataclasses import dataclass

import msgpack

from chiveworks.base import Epoch


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """Some of a snapshot's encoded changes, with the snapshot they belong to."""

    number: int
    epoch: Epoch
    changes: tuple[bytes, ...]

    def encode(self) -> bytes:
        """Returns the part in its stored form."""
        return bytes(msgpack.packb([self.number, self.epoch, list(self.changes)]))

    @classmethod
    def decode(cls, stored: bytes) -> 'SnapshotPart':
        """Reads the stored form."""
        number, epoch, changes = msgpack.unpackb(stored)
        return cls(number, Epoch(epoch), tuple(changes))
