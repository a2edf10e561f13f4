"""Ownership record of a zone's shard."""

from dataclasses import dataclass

from chiveworks.base import EntryId, Epoch, ZoneName


@dataclass(frozen=True, slots=True, order=True)
class OwnerRecord:
    """Owner of a zone's shard in one epoch.

    Records compare field by field, so the record of a zone with the highest epoch is
    the greatest. If two records have the same epoch, owner and address decide, so
    that all processes choose the same one.

    Attributes:
        zone: Zone of the shard.
        epoch: The owner's fencing token.
        owner: Entry process that owns the shard.
        peer_address: `ip:port` of its gRPC server.
    """

    zone: ZoneName
    epoch: Epoch
    owner: EntryId
    peer_address: str
