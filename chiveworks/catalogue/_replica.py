"""A process's copy of the configuration."""

import asyncio
import logging
from collections.abc import Iterable
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from chiveworks.base import EntryName, Revision, ZoneName
from chiveworks.catalogue._entry import CatalogueEntry
from chiveworks.catalogue._item import ConfigItem
from chiveworks.catalogue._keys import ENTRY_PREFIX, ZONE_PREFIX, entry_key, zone_key
from chiveworks.catalogue._stored import StoredValue
from chiveworks.catalogue._zone_state import ZoneState
from chiveworks.catalogue._zone_switch import ZoneSwitch

_LOG = logging.getLogger(__name__)
_Key = TypeVar('_Key', bound=str)
_Document = TypeVar('_Document', bound=BaseModel)


class CatalogueReplica:
    """Latest known item of every key; items of any order and source never revert.

    The replica holds every change up to `revision`. Single items, such as this
    process's own writes, may be newer; they do not move `revision`, because
    other changes before them may still be missing.

    A value that cannot be decoded (written past the editor) is kept and relayed
    like any other, but the last valid document of its key stays in force.
    """

    def __init__(self) -> None:
        self._revision = Revision(0)
        # Revision of the last complete listing: a key that is not held was absent
        # then, so an older item of it comes from a stale peer.
        self._listed = Revision(0)
        self._held: dict[str, ConfigItem] = {}
        self._entries: dict[EntryName, CatalogueEntry] = {}
        self._switches: dict[ZoneName, ZoneSwitch] = {}
        self._changes = 0
        self._changed = asyncio.Event()

    @property
    def revision(self) -> Revision:
        """Revision up to which no change is missing."""
        return self._revision

    @property
    def change_count(self) -> int:
        """Number of batches that changed something."""
        return self._changes

    def apply(
        self,
        items: Iterable[ConfigItem],
        revision: Revision,
        after: Revision | None = None,
    ) -> tuple[ConfigItem, ...]:
        """Takes over the items that are newer than those held.

        Args:
            items: Changes, in any order.
            revision: Revision up to which `items` are complete; that of the
                replica itself when nothing is known.
            after: Revision after which `items` are complete. When the replica
                has not reached it, a change may be missing between the two, and
                the replica's revision stays. None: no change is missing.

        Returns:
            The items that were newer.
        """
        newer = tuple(change for change in items if self._take(change))
        if after is None or after <= self._revision:
            self._revision = max(self._revision, revision)
        self._announce(newer)
        return newer

    def apply_listing(
        self, items: Iterable[ConfigItem], revision: Revision
    ) -> tuple[ConfigItem, ...]:
        """Takes over a complete listing; keys missing from it are deleted.

        Returns:
            The items that were newer, including tombstones of missing keys.
        """
        listed = tuple(items)
        present = {listed_item.key for listed_item in listed}
        missing = tuple(
            ConfigItem(key, b'', revision, deleted=True)
            for key, held in self._held.items()
            if key not in present and not held.deleted
        )
        newer = self.apply((*listed, *missing), revision)
        self._listed = max(self._listed, revision)
        return newer

    def items_after(self, revision: Revision) -> tuple[ConfigItem, ...]:
        """Returns held items and tombstones newer than `revision`, oldest first."""
        newer = (held for held in self._held.values() if held.mod_revision > revision)
        return tuple(sorted(newer, key=lambda held: held.mod_revision))

    def held_item(self, key: str) -> ConfigItem | None:
        """Returns the item held for a key, tombstones included."""
        return self._held.get(key)

    def entry(self, name: EntryName) -> CatalogueEntry | None:
        """Returns the entry, or None when there is none of that name."""
        return self._entries.get(name)

    def entries(self) -> tuple[CatalogueEntry, ...]:
        """Returns all entries in the order of their names."""
        return tuple(self._entries[name] for name in sorted(self._entries))

    def entry_revision(self, name: EntryName) -> Revision:
        """Returns the revision of an entry's key, 0 when there is no entry."""
        return self._revision_of(entry_key(name)) if self.entry(name) else Revision(0)

    def zone_switch(self, zone: ZoneName) -> ZoneSwitch | None:
        """Returns a zone's switch, or None when it was never set."""
        return self._switches.get(zone)

    def zone_switches(self) -> dict[ZoneName, ZoneSwitch]:
        """Returns the switches that were set, by zone."""
        return dict(self._switches)

    def zone_revision(self, zone: ZoneName) -> Revision:
        """Returns the revision of a zone's switch, 0 when it was never set."""
        return self._revision_of(zone_key(zone))

    def is_in_service(self, zone: ZoneName) -> bool:
        """Tells whether a zone may receive work; true until it is taken out."""
        switch = self.zone_switch(zone)
        return switch is None or switch.state is ZoneState.IN_SERVICE

    async def wait_for_change(self, seen: int | None = None) -> None:
        """Waits for the next change.

        Args:
            seen: Value of `change_count` that the caller has handled; returns at once
                when there were changes since. None: waits for a later one.
        """
        if seen is None or seen >= self._changes:
            await self._changed.wait()

    def _take(self, change: ConfigItem) -> bool:
        held = self._held.get(change.key)
        known = self._listed if held is None else held.mod_revision
        if change.mod_revision <= known:
            return False
        self._held[change.key] = change
        try:
            self._decode(change)
        except ValidationError as error:
            _LOG.warning(
                '%s at revision %d is not valid and has no effect: %s',
                change.key,
                change.mod_revision,
                error,
            )
        return True

    def _decode(self, change: ConfigItem) -> None:
        if change.key.startswith(ENTRY_PREFIX):
            name = EntryName(change.key.removeprefix(ENTRY_PREFIX))
            entry = _document(StoredValue[CatalogueEntry], change)
            _set_or_remove(self._entries, name, entry)
        elif change.key.startswith(ZONE_PREFIX):
            zone = ZoneName(change.key.removeprefix(ZONE_PREFIX))
            switch = _document(StoredValue[ZoneSwitch], change)
            _set_or_remove(self._switches, zone, switch)

    def _revision_of(self, key: str) -> Revision:
        held = self._held.get(key)
        return Revision(0) if held is None else held.mod_revision

    def _announce(self, newer: tuple[ConfigItem, ...]) -> None:
        if newer:
            self._changes += 1
            self._changed.set()
            self._changed = asyncio.Event()


def _document(
    form: type[StoredValue[_Document]], change: ConfigItem
) -> _Document | None:
    if change.deleted:
        return None
    return form.model_validate_json(change.value).document


def _set_or_remove(
    table: dict[_Key, _Document], key: _Key, document: _Document | None
) -> None:
    if document is None:
        table.pop(key, None)
    else:
        table[key] = document
