"""Field-by-field diff of two documents."""

from collections.abc import Mapping
from dataclasses import dataclass

from pydantic import BaseModel, JsonValue


@dataclass(frozen=True, slots=True)
class FieldChange:
    """A field whose stored value differs from the proposed one.

    Attributes:
        field: Name of the field.
        stored: Value in the store; None if no document is stored.
        proposed: Proposed value; None if the document is to be deleted.
    """

    field: str
    stored: JsonValue
    proposed: JsonValue


def diff_documents(
    stored: BaseModel | None, proposed: BaseModel | None
) -> tuple[FieldChange, ...]:
    """Returns the fields that differ, in the order of their definition."""
    before = _fields_of(stored)
    after = _fields_of(proposed)
    fields = {**before, **after}
    return tuple(
        FieldChange(field, before.get(field), after.get(field))
        for field in fields
        if before.get(field) != after.get(field)
    )


def _fields_of(document: BaseModel | None) -> Mapping[str, JsonValue]:
    return {} if document is None else document.model_dump(mode='json')
