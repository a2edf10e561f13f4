"""Failures of edits."""

from typing import TypeVar

from pydantic import BaseModel

from chiveworks.base import EntryName, Failure, Step
from chiveworks.catalogue._edit import Edit
from chiveworks.catalogue._edit_conflict import EditConflict
from chiveworks.store import StoreConflict

_Document = TypeVar('_Document', bound=BaseModel)


def unsettled(
    edit: Edit[_Document], lost: Failure | StoreConflict
) -> Failure | EditConflict:
    """Describes a write that was neither confirmed nor read back."""
    if isinstance(lost, StoreConflict):
        # The store said that nothing was written; only the diff is missing.
        return EditConflict(lost.key, lost.expected, lost.found, ())
    return Failure.unknown(
        Step.STORE_WRITE,
        lost.peer,
        f'the answer to the write of {edit.key} was lost and it could not be read '
        f'back: {lost.message}',
        'read it back once the store answers, then repeat the change if it is missing',
    )


def not_run(failure: Failure) -> Failure:
    """Describes an edit that ended with a failed read, before any write."""
    return Failure.not_run(
        failure.step,
        failure.peer,
        f'nothing was written, because the store could not be read: {failure.message}',
        failure.next_step or 'repeat the change once the store answers',
    )


def unreadable(name: EntryName) -> Failure:
    """Describes a value that was written past the editor."""
    return Failure.not_run(
        Step.STORE_READ,
        'store',
        f'the stored value of {name} is not valid; it was written past the catalogue',
        'apply the entry again to replace it',
    )
