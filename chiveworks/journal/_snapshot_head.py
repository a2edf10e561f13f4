"""Key that points to the parts of the latest snapshot."""

from dataclasses import dataclass

import msgpack

from chiveworks.base import Epoch


@dataclass(frozen=True, slots=True)
class SnapshotHead:
    """Describes a complete snapshot.

    Attributes:
        number: Number of the last journal record that the snapshot covers.
        epoch: Epoch of the owner that wrote the head.
        part_epoch: Epoch of the owner that wrote the parts.
        area: Which of the two part areas holds the parts (0 or 1).
        part_count: Number of parts.
    """

    number: int
    epoch: Epoch
    part_epoch: Epoch
    area: int
    part_count: int

    def encode(self) -> bytes:
        """Encodes the head for the store."""
        fields = [self.number, self.epoch, self.part_epoch, self.area, self.part_count]
        return bytes(msgpack.packb(fields))

    @classmethod
    def decode(cls, stored: bytes) -> 'SnapshotHead':
        """Decodes a head from the store."""
        number, epoch, part_epoch, area, part_count = msgpack.unpackb(stored)
        return cls(number, Epoch(epoch), Epoch(part_epoch), area, part_count)
