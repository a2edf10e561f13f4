"""One key of the configuration."""

from dataclasses import dataclass

from chiveworks.base import Revision


@dataclass(frozen=True, slots=True)
class ConfigItem:
    """A configuration key at one revision.

    Attributes:
        key: Key in the store, below `config/`.
        value: Its value; empty when deleted.
        mod_revision: Store revision of the change.
        deleted: Whether the change removed the key (a tombstone).
    """

    key: str
    value: bytes
    mod_revision: Revision
    deleted: bool = False
