"""Result of a read."""

from dataclasses import dataclass

from chiveworks.base import Revision
from chiveworks.store._entry import StoreEntry


@dataclass(frozen=True, slots=True)
class StoreRead:
    """Entries found, and the revision of the store at which they were read."""

    revision: Revision
    entries: tuple[StoreEntry, ...]

    def first(self) -> StoreEntry | None:
        """Returns the first entry, or None when there is none."""
        return self.entries[0] if self.entries else None
