"""Status that entry processes exchange."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import EntryId, Revision, ZoneName


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Status of an entry process at the time of an exchange.

    Attributes:
        entry_id: Id of the process.
        zone: Zone of the process.
        address: `ip:port` of its gRPC server.
        revision: Revision up to which it has every configuration change.
        last_change: Highest revision of an item that it holds.
        floor: Revision above which its tombstones are complete.
        progress_age: Time since a watcher confirmed `revision`; None if none has.
        owners_digest: Digest of its owner table.
        draining: Whether the process is about to stop.
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
