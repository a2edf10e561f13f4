"""A pending edit of one key in the store."""

from dataclasses import dataclass
from typing import Generic, TypeVar

from pydantic import BaseModel, ValidationError

from chiveworks.base import Revision
from chiveworks.catalogue._edit_conflict import EditConflict
from chiveworks.catalogue._field_change import diff_documents
from chiveworks.catalogue._stored import MAX_VERSIONS, StoredValue, StoredVersion
from chiveworks.store import StoreEntry

_Document = TypeVar('_Document', bound=BaseModel)


@dataclass(frozen=True, slots=True)
class Edit(Generic[_Document]):
    """Replacement of the document stored under a key.

    Attributes:
        key: Key in the store.
        value_type: Model of the stored value.
        expected: Revision on which the edit is based, 0 for "must not exist";
            None to overwrite any revision.
        proposal: New value without its history; a value without a document
            deletes the entry.
    """

    key: str
    value_type: type[StoredValue[_Document]]
    expected: Revision | None
    proposal: StoredValue[_Document]

    def encode_value(self, current: StoreEntry | None) -> bytes:
        """Encodes the value that replaces `current`, with the history appended."""
        versions: tuple[StoredVersion[_Document], ...] = ()
        stored = self._decode_value(current)
        if stored is not None and current is not None:
            versions = stored.versions(current.mod_revision)[: MAX_VERSIONS - 1]
        value = self.proposal.model_copy(update={'history': versions})
        return value.model_dump_json().encode()

    def check_conflict(self, current: StoreEntry | None) -> EditConflict | None:
        """Returns a conflict if the edit is based on another revision, else None."""
        live = self._live_revision(current)
        if self.proposal.document is None and not live:
            # There is nothing to delete.
            return self.describe_conflict(current)
        if self.expected is None or self.expected == live:
            return None
        return self.describe_conflict(current)

    def describe_conflict(self, current: StoreEntry | None) -> EditConflict:
        """Returns a conflict with the differences between the edit and the store."""
        stored = self._decode_value(current)
        return EditConflict(
            self.key,
            Revision(0) if self.expected is None else self.expected,
            self._live_revision(current),
            diff_documents(stored and stored.document, self.proposal.document),
        )

    def find_written_revision(self, current: StoreEntry | None) -> Revision | None:
        """Returns the revision at which this edit was written, or None.

        The edit is identified by its nonce. It is found in the history if another
        operator has written a later version since.
        """
        stored = self._decode_value(current)
        if stored is None or current is None:
            return None
        for version in stored.versions(current.mod_revision):
            if version.nonce == self.proposal.nonce:
                return version.revision
        return None

    def _decode_value(
        self, current: StoreEntry | None
    ) -> StoredValue[_Document] | None:
        if current is None:
            return None
        try:
            return self.value_type.model_validate_json(current.value)
        except ValidationError:
            # Not written by the editor. The edit can still replace the value,
            # because the compare-and-swap only needs its revision.
            return None

    def _live_revision(self, current: StoreEntry | None) -> Revision:
        """Returns the revision of a key, 0 if it is absent or its entry is deleted."""
        if current is None:
            return Revision(0)
        stored = self._decode_value(current)
        deleted = stored is not None and stored.document is None
        return Revision(0) if deleted else current.mod_revision


def revision_of(current: StoreEntry | None) -> Revision:
    """Returns the revision of a key as read from the store, 0 if it is absent."""
    return Revision(0) if current is None else current.mod_revision
