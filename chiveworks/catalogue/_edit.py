"""An edit on its way to the store."""

from dataclasses import dataclass
from typing import Generic, TypeVar

from pydantic import BaseModel, ValidationError

from chiveworks.base import Revision
from chiveworks.catalogue._edit_conflict import EditConflict
from chiveworks.catalogue._field_change import diff_documents
from chiveworks.catalogue._stored import KEPT_VERSIONS, StoredValue, StoredVersion
from chiveworks.store import StoreEntry

_Document = TypeVar('_Document', bound=BaseModel)


@dataclass(frozen=True, slots=True)
class Edit(Generic[_Document]):
    """Replaces the document of a key.

    Attributes:
        key: The key.
        form: Type of the stored value.
        expected: Revision on which the edit is based, 0 for "must not exist";
            None when it replaces whatever is stored.
        proposal: New value without its history; no document deletes the key.
    """

    key: str
    form: type[StoredValue[_Document]]
    expected: Revision | None
    proposal: StoredValue[_Document]

    def value_after(self, current: StoreEntry | None) -> bytes:
        """Returns the value to write over `current`, with its history."""
        versions: tuple[StoredVersion[_Document], ...] = ()
        stored = self._read(current)
        if stored is not None and current is not None:
            versions = stored.versions(current.mod_revision)[: KEPT_VERSIONS - 1]
        value = self.proposal.model_copy(update={'history': versions})
        return value.model_dump_json().encode()

    def conflict_with(self, current: StoreEntry | None) -> EditConflict | None:
        """Returns the conflict if the edit is based on another revision."""
        live = self._live_revision(current)
        if self.proposal.document is None and not live:
            # There is nothing to delete.
            return self.conflict(current)
        if self.expected is None or self.expected == live:
            return None
        return self.conflict(current)

    def conflict(self, current: StoreEntry | None) -> EditConflict:
        """Describes how the edit differs from what is stored."""
        stored = self._read(current)
        return EditConflict(
            self.key,
            Revision(0) if self.expected is None else self.expected,
            self._live_revision(current),
            diff_documents(stored and stored.document, self.proposal.document),
        )

    def accepted_at(self, current: StoreEntry | None) -> Revision | None:
        """Returns the revision at which this edit was written, if it was.

        Another operator may already have written a later version; this edit is
        then found in the history.
        """
        stored = self._read(current)
        if stored is None or current is None:
            return None
        for version in stored.versions(current.mod_revision):
            if version.nonce == self.proposal.nonce:
                return version.revision
        return None

    def _read(self, current: StoreEntry | None) -> StoredValue[_Document] | None:
        if current is None:
            return None
        try:
            return self.form.model_validate_json(current.value)
        except ValidationError:
            # Written past the editor; the edit replaces it by its revision.
            return None

    def _live_revision(self, current: StoreEntry | None) -> Revision:
        if current is None:
            return Revision(0)
        stored = self._read(current)
        deleted = stored is not None and stored.document is None
        return Revision(0) if deleted else current.mod_revision


def revision_of(current: StoreEntry | None) -> Revision:
    """Returns the revision of what was read, 0 when the key is absent."""
    return Revision(0) if current is None else current.mod_revision
