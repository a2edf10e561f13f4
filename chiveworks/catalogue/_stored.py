"""Format of the values under `config/`."""

from datetime import datetime
from typing import Final, Generic, TypeVar

from pydantic import BaseModel, ConfigDict

from chiveworks.base import Revision

#: Versions kept in a value, the current one included. Twenty entries of under
#: 2 KB each stay far below the store's limit of 1 MB.
KEPT_VERSIONS: Final = 20

_Document = TypeVar('_Document', bound=BaseModel)


class StoredVersion(BaseModel, Generic[_Document]):
    """An earlier version; `document` is None when it was a deletion."""

    model_config = ConfigDict(frozen=True)

    revision: Revision
    nonce: str
    author: str
    at: datetime
    document: _Document | None


class StoredValue(BaseModel, Generic[_Document]):
    """A document with its author, its nonce and its earlier versions.

    A deletion is stored as a value without a document. The key's revision then
    never returns to 0, so a creation whose answer was lost can be repeated
    without undoing a deletion, and the history outlives the entry.

    Attributes:
        nonce: Random; tells the writer after a lost answer whether it wrote this.
        author: Who made the change.
        at: When the change was made, for people only.
        document: The entry or switch; None when deleted.
        history: Earlier versions, latest first.
    """

    model_config = ConfigDict(frozen=True)

    nonce: str
    author: str
    at: datetime
    document: _Document | None
    history: tuple[StoredVersion[_Document], ...] = ()

    def as_version(self, revision: Revision) -> StoredVersion[_Document]:
        """Returns this value as the version that was written at `revision`."""
        return StoredVersion(
            revision=revision,
            nonce=self.nonce,
            author=self.author,
            at=self.at,
            document=self.document,
        )

    def versions(self, revision: Revision) -> tuple[StoredVersion[_Document], ...]:
        """Returns all kept versions, latest first, given the key's revision."""
        return (self.as_version(revision), *self.history)[:KEPT_VERSIONS]
