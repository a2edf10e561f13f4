"""Result of a compare-and-swap that failed."""

from dataclasses import dataclass

from chiveworks.base import Revision


@dataclass(frozen=True, slots=True)
class StoreConflict:
    """The key did not have the expected revision; nothing was written.

    Attributes:
        key: Key that was to be written or deleted.
        expected: Revision that the writer expected.
        found: Revision of the key in the store; 0 when it is absent.
    """

    key: str
    expected: Revision
    found: Revision
