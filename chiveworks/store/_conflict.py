"""A compare-and-swap that lost."""

from dataclasses import dataclass

from chiveworks.base import Revision


@dataclass(frozen=True, slots=True)
class StoreConflict:
    """The key had another revision than expected; nothing was written.

    Attributes:
        key: The key.
        expected: Revision that the writer expected.
        found: The key's revision in the store, 0 when the key is absent.
    """

    key: str
    expected: Revision
    found: Revision
