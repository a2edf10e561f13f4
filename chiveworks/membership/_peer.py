"""Address of an entry process."""

from dataclasses import dataclass

from chiveworks.base import EntryId, ZoneName


@dataclass(frozen=True, slots=True)
class Peer:
    """Identity and address of an entry process.

    Attributes:
        entry_id: Id of the process.
        zone: Zone of the process.
        address: `ip:port` of its gRPC server.
    """

    entry_id: EntryId
    zone: ZoneName
    address: str
