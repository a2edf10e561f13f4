"""A configuration key as exchanged between store, peers and replicas."""

from dataclasses import dataclass

from chiveworks.base import Revision


@dataclass(frozen=True, slots=True)
class ConfigItem:
    """Value of a key under `config/` at one revision; empty if it was deleted."""

    key: str
    value: bytes
    mod_revision: Revision
    deleted: bool = False
