"""Result of a journal write after another owner has taken over."""

from dataclasses import dataclass

from chiveworks.base import Epoch


@dataclass(frozen=True, slots=True)
class JournalOwnershipLost:
    """Another owner wrote to the journal; the writer must step down.

    Attributes:
        found_epoch: Epoch of the other owner, as found in the store; 0 if the key
            no longer existed.
    """

    found_epoch: Epoch
