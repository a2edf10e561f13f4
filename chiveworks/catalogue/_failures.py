"""Construction of the failures that edits and reads return."""

from typing import TypeVar

from pydantic import BaseModel

from chiveworks.base import EntryName, Failure, Step
from chiveworks.catalogue._edit import Edit
from chiveworks.catalogue._edit_conflict import EditConflict
from chiveworks.store import StoreConflict

_Document = TypeVar('_Document', bound=BaseModel)


def unconfirmed_write(
    edit: Edit[_Document], error: Failure | StoreConflict
) -> Failure | EditConflict:
    """Returns the error for a write that was neither confirmed nor read back."""
    if isinstance(error, StoreConflict):
        # The store reported that nothing was written. The diff is empty, since
        # the stored value could not be read.
        return EditConflict(error.key, error.expected, error.found, ())
    return Failure.unknown(
        Step.STORE_WRITE,
        error.peer,
        f'the response to the write of {edit.key} was lost and the key could not be '
        f'read back: {error.message}',
        'read the key once the store responds, and repeat the change if it is missing',
    )


def failed_read(failure: Failure) -> Failure:
    """Returns the failure of an edit whose initial read failed."""
    return Failure.not_run(
        failure.step,
        failure.peer,
        f'nothing was written, because the store could not be read: {failure.message}',
        failure.next_step or 'repeat the change once the store responds',
    )


def invalid_stored_value(name: EntryName) -> Failure:
    """Returns the failure of reading a value that the editor did not write."""
    return Failure.not_run(
        Step.STORE_READ,
        'store',
        f'the stored value of {name} is invalid; the catalogue did not write it',
        'apply the entry again to replace it',
    )
