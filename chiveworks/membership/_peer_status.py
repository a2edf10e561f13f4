"""What an entry process tells its peers about itself."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import EntryId, Revision, ZoneName


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """State of a peer at the time of an exchange.

    Attributes:
        entry_id: The entry process.
        zone: Its zone.
        address: `ip:port` of its gRPC server.
        revision: Revision up to which it knows every change of the configuration.
        last_change: Highest revision of an item that it holds.
        floor: Revision above which its tombstones are complete.
        progress_age: Time since a watcher confirmed `revision`, None if unknown.
        owners_digest: Digest of its owner table.
        draining: Whether it is about to stop.
    """

    entry_id: EntryId
    zone: ZoneName
    address: str
    revision: Revision
    last_change: Revision
    floor: Revision
    progress_age: timedelta | None
    owners_digest: int
    draining: bool = False
