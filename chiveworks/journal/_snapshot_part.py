"""One part of a snapshot.

Snapshots are split because they can exceed the store's value limit.
"""

from dataclasses import dataclass

import msgpack

from chiveworks.base import Epoch


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """Some of a snapshot's encoded changes.

    Attributes:
        number: Number of the last journal record that the snapshot covers.
        epoch: Epoch of the owner that wrote the part.
        changes: Encoded changes, in order.
    """

    number: int
    epoch: Epoch
    changes: tuple[bytes, ...]

    def encode(self) -> bytes:
        """Encodes the part for the store."""
        return bytes(msgpack.packb([self.number, self.epoch, list(self.changes)]))

    @classmethod
    def decode(cls, stored: bytes) -> 'SnapshotPart':
        """Decodes a part from the store."""
        number, epoch, changes = msgpack.unpackb(stored)
        return cls(number, Epoch(epoch), tuple(changes))
