"""Editing of the catalogue by operators."""

import uuid
from datetime import timedelta
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from chiveworks.base import (
    Clock,
    EntryName,
    Failure,
    Revision,
    Verdict,
    ZoneName,
)
from chiveworks.catalogue._edit import Edit, revision_of
from chiveworks.catalogue._edit_conflict import EditConflict
from chiveworks.catalogue._entry import CatalogueEntry
from chiveworks.catalogue._failures import (
    failed_read,
    invalid_stored_value,
    unconfirmed_write,
)
from chiveworks.catalogue._item import ConfigItem
from chiveworks.catalogue._keys import entry_key, zone_key
from chiveworks.catalogue._replica import CatalogueReplica
from chiveworks.catalogue._stored import StoredValue, StoredVersion
from chiveworks.catalogue._zone_state import ZoneState
from chiveworks.catalogue._zone_switch import ZoneSwitch
from chiveworks.store import Store, StoreConflict, StoreEntry

_Document = TypeVar('_Document', bound=BaseModel)

#: Reads after a lost response, and the pause before each but the first.
_READ_BACK_ATTEMPTS = 3
_READ_BACK_PAUSE = timedelta(milliseconds=200)


class CatalogueEditor:
    """Writes entries and zone switches by compare-and-swap.

    Every method that writes returns the revision of the change, an
    `EditConflict` if the edit was rejected, or a `Failure`.
    """

    def __init__(self, store: Store, replica: CatalogueReplica, clock: Clock) -> None:
        self._store = store
        self._replica = replica
        self._clock = clock

    async def apply(
        self, entry: CatalogueEntry, expected: Revision, author: str
    ) -> Result[Revision, Failure | EditConflict]:
        """Creates or replaces an entry if its revision is `expected` (0: absent)."""
        return await self._write_entry(entry.name, entry, expected, author)

    async def delete(
        self, name: EntryName, expected: Revision, author: str
    ) -> Result[Revision, Failure | EditConflict]:
        """Deletes an entry if its revision is `expected`; its history is kept."""
        return await self._write_entry(name, None, expected, author)

    async def set_zone(
        self,
        zone: ZoneName,
        state: ZoneState,
        author: str,
        reason: str = '',
        expected: Revision | None = None,
    ) -> Result[Revision, Failure | EditConflict]:
        """Takes an availability zone out of service or brings it back.

        Without `expected` any stored state is overwritten. Of two concurrent
        changes, one is still rejected with a conflict.
        """
        now = self._clock.now()
        switch = ZoneSwitch(state=state, author=author, reason=reason, since=now)
        value_type = StoredValue[ZoneSwitch]
        proposal = value_type(
            nonce=_new_nonce(), author=author, at=now, document=switch
        )
        return await self._write(Edit(zone_key(zone), value_type, expected, proposal))

    async def current(
        self, name: EntryName
    ) -> Result[StoredVersion[CatalogueEntry] | None, Failure]:
        """Reads the latest version of an entry from the store; None if absent."""
        versions = await self.history(name)
        if isinstance(versions, Err):
            return versions
        latest = next(iter(versions.ok_value), None)
        return Ok(latest if latest and latest.document else None)

    async def history(
        self, name: EntryName
    ) -> Result[tuple[StoredVersion[CatalogueEntry], ...], Failure]:
        """Reads the stored versions of an entry, latest first; empty if unknown."""
        read = await self._store.fetch(entry_key(name))
        if isinstance(read, Err):
            return read
        found = read.ok_value.first()
        if found is None:
            return Ok(())
        try:
            stored = StoredValue[CatalogueEntry].model_validate_json(found.value)
        except ValidationError:
            return Err(invalid_stored_value(name))
        return Ok(stored.versions(found.mod_revision))

    async def _write_entry(
        self,
        name: EntryName,
        entry: CatalogueEntry | None,
        expected: Revision,
        author: str,
    ) -> Result[Revision, Failure | EditConflict]:
        value_type = StoredValue[CatalogueEntry]
        now = self._clock.now()
        proposal = value_type(nonce=_new_nonce(), author=author, at=now, document=entry)
        return await self._write(Edit(entry_key(name), value_type, expected, proposal))

    async def _write(
        self, edit: Edit[_Document]
    ) -> Result[Revision, Failure | EditConflict]:
        read = await self._store.fetch(edit.key)
        if isinstance(read, Err):
            # Nothing has been written yet, whatever the verdict of the read.
            return Err(failed_read(read.err_value))
        current = read.ok_value.first()
        conflict = edit.check_conflict(current)
        if conflict is not None:
            return Err(conflict)
        return await self._compare_and_swap(edit, current)

    async def _compare_and_swap(
        self, edit: Edit[_Document], base: StoreEntry | None
    ) -> Result[Revision, Failure | EditConflict]:
        """Replaces `base`; after a lost response determines the outcome."""
        value = edit.encode_value(base)
        written = await self._store.compare_and_swap(edit.key, value, revision_of(base))
        if isinstance(written, Err):
            error = written.err_value
            if isinstance(error, Failure) and error.verdict is Verdict.NOT_RUN:
                return Err(error)
            outcome = await self._resolve_lost_write(edit, base, value, error)
        else:
            outcome = written
        if isinstance(outcome, Ok):
            written_item = ConfigItem(edit.key, value, outcome.ok_value)
            self._replica.apply([written_item], self._replica.revision)
        return outcome

    async def _resolve_lost_write(
        self,
        edit: Edit[_Document],
        base: StoreEntry | None,
        value: bytes,
        error: Failure | StoreConflict,
    ) -> Result[Revision, Failure | EditConflict]:
        """Reads the key back to determine the outcome of an unconfirmed write."""
        for attempt in range(_READ_BACK_ATTEMPTS):
            if attempt:
                await self._clock.sleep(_READ_BACK_PAUSE)
            read = await self._store.fetch(edit.key)
            if isinstance(read, Err):
                continue
            current = read.ok_value.first()
            written_revision = edit.find_written_revision(current)
            if written_revision is not None:
                return Ok(written_revision)
            if revision_of(current) != revision_of(base):
                return Err(edit.describe_conflict(current))
            # The write may still be in flight. Repeating it is safe: at most one
            # of the two finds the expected revision.
            retried = await self._store.compare_and_swap(
                edit.key, value, revision_of(base)
            )
            if isinstance(retried, Ok):
                return retried
        return Err(unconfirmed_write(edit, error))


def _new_nonce() -> str:
    return uuid.uuid4().hex
