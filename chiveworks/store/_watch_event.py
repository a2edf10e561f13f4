"""A change reported by a watch."""

from dataclasses import dataclass

from chiveworks.base import Revision


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A key that changed; `value` is empty when it was deleted."""

    key: str
    value: bytes
    mod_revision: Revision
    deleted: bool
