"""Operators' changes to the catalogue."""

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
from chiveworks.catalogue._failures import not_run, unreadable, unsettled
from chiveworks.catalogue._item import ConfigItem
from chiveworks.catalogue._keys import entry_key, zone_key
from chiveworks.catalogue._replica import CatalogueReplica
from chiveworks.catalogue._stored import StoredValue, StoredVersion
from chiveworks.catalogue._zone_state import ZoneState
from chiveworks.catalogue._zone_switch import ZoneSwitch
from chiveworks.store import Store, StoreConflict, StoreEntry

_Document = TypeVar('_Document', bound=BaseModel)

#: Read-backs after a lost answer, and the pause before each but the first.
_READ_BACKS = 3
_READ_BACK_PAUSE = timedelta(milliseconds=200)


class CatalogueEditor:
    """Writes entries and zone switches by compare-and-swap.

    Every method that writes returns the revision of the change, an
    `EditConflict` when the edit was refused, or a `Failure`.
    """

    def __init__(self, store: Store, replica: CatalogueReplica, clock: Clock) -> None:
        self._store = store
        self._replica = replica
        self._clock = clock

    async def apply(
        self, entry: CatalogueEntry, expected: Revision, author: str
    ) -> Result[Revision, Failure | EditConflict]:
        """Creates or replaces an entry whose revision is `expected` (0: absent)."""
        return await self._write_entry(entry.name, entry, expected, author)

    async def delete(
        self, name: EntryName, expected: Revision, author: str
    ) -> Result[Revision, Failure | EditConflict]:
        """Deletes an entry whose revision is `expected`; its history is kept."""
        return await self._write_entry(name, None, expected, author)

    async def set_zone(
        self,
        zone: ZoneName,
        state: ZoneState,
        author: str,
        reason: str = '',
        expected: Revision | None = None,
    ) -> Result[Revision, Failure | EditConflict]:
        """Takes a zone out or puts it back.

        Without `expected` the switch is set over whatever is stored; of two
        simultaneous changes one is still refused with a conflict.
        """
        now = self._clock.now()
        switch = ZoneSwitch(state=state, author=author, reason=reason, since=now)
        form = StoredValue[ZoneSwitch]
        proposal = form(nonce=_nonce(), author=author, at=now, document=switch)
        return await self._write(Edit(zone_key(zone), form, expected, proposal))

    async def current(
        self, name: EntryName
    ) -> Result[StoredVersion[CatalogueEntry] | None, Failure]:
        """Reads an entry's latest version from the store; None when absent."""
        versions = await self.history(name)
        if isinstance(versions, Err):
            return versions
        latest = next(iter(versions.ok_value), None)
        return Ok(latest if latest and latest.document else None)

    async def history(
        self, name: EntryName
    ) -> Result[tuple[StoredVersion[CatalogueEntry], ...], Failure]:
        """Returns the kept versions of an entry, latest first; none if unknown."""
        answer = await self._store.fetch(entry_key(name))
        if isinstance(answer, Err):
            return answer
        found = answer.ok_value.first()
        if found is None:
            return Ok(())
        try:
            stored = StoredValue[CatalogueEntry].model_validate_json(found.value)
        except ValidationError:
            return Err(unreadable(name))
        return Ok(stored.versions(found.mod_revision))

    async def _write_entry(
        self,
        name: EntryName,
        entry: CatalogueEntry | None,
        expected: Revision,
        author: str,
    ) -> Result[Revision, Failure | EditConflict]:
        form = StoredValue[CatalogueEntry]
        now = self._clock.now()
        proposal = form(nonce=_nonce(), author=author, at=now, document=entry)
        return await self._write(Edit(entry_key(name), form, expected, proposal))

    async def _write(
        self, edit: Edit[_Document]
    ) -> Result[Revision, Failure | EditConflict]:
        read = await self._store.fetch(edit.key)
        if isinstance(read, Err):
            # A failed read has no effect, whatever its own verdict.
            return Err(not_run(read.err_value))
        current = read.ok_value.first()
        conflict = edit.conflict_with(current)
        if conflict is not None:
            return Err(conflict)
        return await self._swap(edit, current)

    async def _swap(
        self, edit: Edit[_Document], base: StoreEntry | None
    ) -> Result[Revision, Failure | EditConflict]:
        """Writes over `base`; after a lost answer finds out what happened."""
        value = edit.value_after(base)
        written = await self._store.compare_and_swap(edit.key, value, revision_of(base))
        if isinstance(written, Err):
            lost = written.err_value
            if isinstance(lost, Failure) and lost.verdict is Verdict.NOT_RUN:
                return Err(lost)
            settled = await self._settle(edit, base, value, lost)
        else:
            settled = written
        if isinstance(settled, Ok):
            own = ConfigItem(edit.key, value, settled.ok_value)
            self._replica.apply([own], self._replica.revision)
        return settled

    async def _settle(
        self,
        edit: Edit[_Document],
        base: StoreEntry | None,
        value: bytes,
        lost: Failure | StoreConflict,
    ) -> Result[Revision, Failure | EditConflict]:
        """Reads back what became of a write that was not confirmed."""
        for attempt in range(_READ_BACKS):
            if attempt:
                await self._clock.sleep(_READ_BACK_PAUSE)
            read = await self._store.fetch(edit.key)
            if isinstance(read, Err):
                continue
            current = read.ok_value.first()
            accepted = edit.accepted_at(current)
            if accepted is not None:
                return Ok(accepted)
            if revision_of(current) != revision_of(base):
                return Err(edit.conflict(current))
            # The write may still be under way. Repeating the same one is safe:
            # at most one of the two finds the expected revision.
            again = await self._store.compare_and_swap(
                edit.key, value, revision_of(base)
            )
            if isinstance(again, Ok):
                return again
        return Err(unsettled(edit, lost))


def _nonce() -> str:
    return uuid.uuid4().hex
