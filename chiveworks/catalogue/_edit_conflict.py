"""Rejection of an edit that is based on an outdated revision."""

from dataclasses import dataclass

from chiveworks.base import Revision
from chiveworks.catalogue._field_change import FieldChange


@dataclass(frozen=True, slots=True)
class EditConflict:
    """An edit was rejected and had no effect.

    Attributes:
        key: Key of the entry or zone switch.
        expected: Revision on which the edit was based, 0 for "must not exist" or if
            the edit was to overwrite any revision.
        found: Revision in the store, 0 if the entry does not exist.
        diff: Fields whose stored value differs from the proposed one.
    """

    key: str
    expected: Revision
    found: Revision
    diff: tuple[FieldChange, ...]
