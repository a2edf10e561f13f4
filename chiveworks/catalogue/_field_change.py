"""One line of a diff."""

from collections.abc import Mapping
from dataclasses import dataclass

from pydantic import BaseModel, JsonValue


@dataclass(frozen=True, slots=True)
class FieldChange:
    """A field whose value in the store differs from the proposed one.

    Attributes:
        field: Name of the field.
        stored: Value in the store; None when the document is absent there.
        proposed: Value of the proposal; None when it deletes the document.
    """

    field: str
    stored: JsonValue
    proposed: JsonValue


def diff_documents(
    stored: BaseModel | None, proposed: BaseModel | None
) -> tuple[FieldChange, ...]:
    """Compares two documents field by field, in the order of the fields."""
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
