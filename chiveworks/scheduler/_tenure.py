"""One period of ownership of a shard."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import EntryId, Epoch, ZoneName


@dataclass(frozen=True, slots=True)
class Tenure:
    """One period during which a process owns a shard.

    Attributes:
        zone: Zone of the shard.
        owner: Entry process that owns the shard.
        epoch: Fencing token of the tenure.
        started: Monotonic time at which the process learned of its ownership.
        predecessor_released: Whether the shard had no previous owner or the journal
            contains that owner's release. Otherwise a former owner may still be
            renewing worker leases.
    """

    zone: ZoneName
    owner: EntryId
    epoch: Epoch
    started: timedelta
    predecessor_released: bool = False
