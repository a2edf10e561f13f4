"""Format of the values under `config/`."""

from datetime import datetime
from typing import Final, Generic, TypeVar

from pydantic import BaseModel, ConfigDict

from chiveworks.base import Revision

#: Versions kept in a value, including the current one. With entries below 2 KB,
#: 20 versions stay far below the store's value limit of 1 MB.
MAX_VERSIONS: Final = 20

_Document = TypeVar('_Document', bound=BaseModel)


class StoredVersion(BaseModel, Generic[_Document]):
    """One version of a value; `document` is None if it was a deletion."""

    model_config = ConfigDict(frozen=True)

    revision: Revision
    nonce: str
    author: str
    at: datetime
    document: _Document | None


class StoredValue(BaseModel, Generic[_Document]):
    """A document with its author, nonce and earlier versions.

    A deletion is stored as a value without a document. The key's revision thus
    never returns to 0: repeating a creation whose response was lost cannot undo
    a later deletion, and the history outlives the entry.

    Attributes:
        nonce: Random id by which the writer recognizes its own write after the
            response was lost.
        author: Who made the change.
        at: When the change was made, for display only.
        document: The entry or zone switch; None if deleted.
        history: Earlier versions, latest first.
    """

    model_config = ConfigDict(frozen=True)

    nonce: str
    author: str
    at: datetime
    document: _Document | None
    history: tuple[StoredVersion[_Document], ...] = ()

    def as_version(self, revision: Revision) -> StoredVersion[_Document]:
        """Returns this value as a version, written at `revision`."""
        return StoredVersion(
            revision=revision,
            nonce=self.nonce,
            author=self.author,
            at=self.at,
            document=self.document,
        )

    def versions(self, revision: Revision) -> tuple[StoredVersion[_Document], ...]:
        """Returns all kept versions, latest first.

        Args:
            revision: Revision of the key, which is that of the current version.
        """
        return (self.as_version(revision), *self.history)[:MAX_VERSIONS]
