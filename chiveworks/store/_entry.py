"""A key-value pair of the store."""

from dataclasses import dataclass

from chiveworks.base import Revision


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """A key, its value and the revisions of its creation and last change."""

    key: str
    value: bytes
    mod_revision: Revision
    create_revision: Revision
