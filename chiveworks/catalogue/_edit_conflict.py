"""An edit that was based on another revision than the stored one."""

from dataclasses import dataclass

from chiveworks.base import Revision
from chiveworks.catalogue._field_change import FieldChange


@dataclass(frozen=True, slots=True)
class EditConflict:
    """The edit was refused and had no effect.

    Attributes:
        key: Key of the entry or switch.
        expected: Revision on which the edit was based, 0 for "must not exist".
        found: Revision in the store, 0 when the entry does not exist.
        diff: Fields in which the store differs from the edit.
    """

    key: str
    expected: Revision
    found: Revision
    diff: tuple[FieldChange, ...]
