"""Owner of a zone's shard."""

from dataclasses import dataclass

from chiveworks.base import EntryId, Epoch, ZoneName


@dataclass(frozen=True, slots=True, order=True)
class OwnerRecord:
    """Who owned a zone's shard as of an epoch.

    The order of the fields makes the highest epoch the greatest record of a
    zone, with a defined choice between two that claim the same epoch.

    Attributes:
        zone: The zone.
        epoch: The owner's fencing token.
        owner: The entry process.
        peer_address: `ip:port` of its gRPC server.
    """

    zone: ZoneName
    epoch: Epoch
    owner: EntryId
    peer_address: str
