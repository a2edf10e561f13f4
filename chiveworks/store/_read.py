"""Answer to a read."""

from dataclasses import dataclass

from chiveworks.base import Revision
from chiveworks.store._entry import StoreEntry


@dataclass(frozen=True, slots=True)
class StoreRead:
    """Entries found, and the store's revision at which they were read."""

    revision: Revision
    entries: tuple[StoreEntry, ...]

    def first(self) -> StoreEntry | None:
        """Returns the first entry, or None when nothing was found."""
        return self.entries[0] if self.entries else None
