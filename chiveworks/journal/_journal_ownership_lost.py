"""The shard has another owner."""

from dataclasses import dataclass

from chiveworks.base import Epoch


@dataclass(frozen=True, slots=True)
class JournalOwnershipLost:
    """Another owner wrote to the journal; the writer must step down.

    Attributes:
        found_epoch: Epoch found in the store.
    """

    found_epoch: Epoch
