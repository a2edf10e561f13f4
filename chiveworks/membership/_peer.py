"""Another entry process."""

from dataclasses import dataclass

from chiveworks.base import EntryId, ZoneName


@dataclass(frozen=True, slots=True)
class Peer:
    """An entry process that can be called.

    Attributes:
        entry_id: Its id.
        zone: Its zone.
        address: `ip:port` of its gRPC server.
    """

    entry_id: EntryId
    zone: ZoneName
    address: str
