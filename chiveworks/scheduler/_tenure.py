"""One period of ownership of a shard."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import EntryId, Epoch, ZoneName


@dataclass(frozen=True, slots=True)
class Tenure:
    """Who owns the shard, under which epoch and since when.

    Attributes:
        zone: Zone of the shard.
        owner: The entry process.
        epoch: Its fencing token.
        started: Monotonic time at which the ownership was known.
        predecessor_released: Whether no former owner can be renewing leases of
            workers that this owner does not reach.
    """

    zone: ZoneName
    owner: EntryId
    epoch: Epoch
    started: timedelta
    predecessor_released: bool = False
