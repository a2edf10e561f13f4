"""In-memory copy of the configuration, one per process."""

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
    """Latest known item of every key.

    Items may arrive in any order and from any source; an older item never
    replaces a newer one.

    The replica holds every change up to `revision`. Single items, such as this
    process's own writes, may be newer. They do not advance `revision`, because
    earlier changes may still be missing.

    A value that cannot be decoded (not written by the editor) is kept and relayed
    like any other, but the last valid document of its key stays in effect.
    """

    def __init__(self) -> None:
        self._revision = Revision(0)
        # Revision of the last complete listing. A key that is not held, or only as
        # deleted, was absent from it, so an older item for that key comes from a
        # stale peer.
        self._listing_revision = Revision(0)
        self._held: dict[str, ConfigItem] = {}
        self._entries: dict[EntryName, CatalogueEntry] = {}
        self._switches: dict[ZoneName, ZoneSwitch] = {}
        self._change_count = 0
        self._changed = asyncio.Event()

    @property
    def revision(self) -> Revision:
        """Revision up to which no change is missing."""
        return self._revision

    @property
    def change_count(self) -> int:
        """Number of calls that have changed the replica."""
        return self._change_count

    def apply(
        self,
        items: Iterable[ConfigItem],
        revision: Revision,
        after: Revision | None = None,
    ) -> tuple[ConfigItem, ...]:
        """Applies the items that are newer than those held.

        Args:
            items: Changes, in any order.
            revision: Revision up to which `items` are complete; the replica's own
                revision if their completeness is unknown.
            after: Revision after which `items` are complete. If the replica has
                not reached it, changes in between may be missing and the
                replica's revision is not advanced. None: no change is missing.

        Returns:
            The items that were applied.
        """
        newer = tuple(change for change in items if self._store_if_newer(change))
        if after is None or after <= self._revision:
            self._revision = max(self._revision, revision)
        self._notify_waiters(newer)
        return newer

    def apply_listing(
        self, items: Iterable[ConfigItem], revision: Revision
    ) -> tuple[ConfigItem, ...]:
        """Applies a complete listing; keys missing from it are deleted.

        Returns:
            The items that were applied, including tombstones for missing keys.
        """
        listed = tuple(items)
        present = {listed_item.key for listed_item in listed}
        missing = tuple(
            ConfigItem(key, b'', revision, deleted=True)
            for key, held in self._held.items()
            if key not in present and not held.deleted
        )
        newer = self.apply((*listed, *missing), revision)
        self._listing_revision = max(self._listing_revision, revision)
        return newer

    def items_after(self, revision: Revision) -> tuple[ConfigItem, ...]:
        """Returns held items and tombstones newer than `revision`, oldest first."""
        newer = (held for held in self._held.values() if held.mod_revision > revision)
        return tuple(sorted(newer, key=lambda held: held.mod_revision))

    def held_item(self, key: str) -> ConfigItem | None:
        """Returns the item held for a key, which may be a tombstone, or None."""
        return self._held.get(key)

    def entry(self, name: EntryName) -> CatalogueEntry | None:
        """Returns the entry of that name, or None if there is none."""
        return self._entries.get(name)

    def entries(self) -> tuple[CatalogueEntry, ...]:
        """Returns all entries, sorted by name."""
        return tuple(self._entries[name] for name in sorted(self._entries))

    def entry_revision(self, name: EntryName) -> Revision:
        """Returns the revision of an entry, 0 if there is none of that name."""
        return self._revision_of(entry_key(name)) if self.entry(name) else Revision(0)

    def zone_switch(self, zone: ZoneName) -> ZoneSwitch | None:
        """Returns a zone's switch, or None if it was never set."""
        return self._switches.get(zone)

    def zone_switches(self) -> dict[ZoneName, ZoneSwitch]:
        """Returns all switches that were ever set, by zone."""
        return dict(self._switches)

    def zone_revision(self, zone: ZoneName) -> Revision:
        """Returns the revision of a zone's switch, 0 if it was never set."""
        return self._revision_of(zone_key(zone))

    def is_in_service(self, zone: ZoneName) -> bool:
        """Returns whether a zone may receive work; true unless it was taken out."""
        switch = self.zone_switch(zone)
        return switch is None or switch.state is ZoneState.IN_SERVICE

    async def wait_for_change(self, seen: int | None = None) -> None:
        """Waits for the next change.

        Args:
            seen: Last value of `change_count` that the caller has processed;
                returns at once if there were changes since. None: waits for the
                next change after the call.
        """
        if seen is None or seen >= self._change_count:
            await self._changed.wait()

    def _known_revision(self, key: str) -> Revision:
        """Returns the revision up to which changes of a key are known."""
        held = self._held.get(key)
        if held is None:
            return self._listing_revision
        if held.deleted:
            # The key was absent from a later listing too.
            return max(held.mod_revision, self._listing_revision)
        return held.mod_revision

    def _store_if_newer(self, change: ConfigItem) -> bool:
        if change.mod_revision <= self._known_revision(change.key):
            return False
        self._held[change.key] = change
        try:
            self._decode(change)
        except ValidationError as error:
            _LOG.warning(
                '%s at revision %d is invalid; keeping the last valid document: %s',
                change.key,
                change.mod_revision,
                error,
            )
        return True

    def _decode(self, change: ConfigItem) -> None:
        if change.key.startswith(ENTRY_PREFIX):
            name = EntryName(change.key.removeprefix(ENTRY_PREFIX))
            entry = _decode_document(StoredValue[CatalogueEntry], change)
            _update_table(self._entries, name, entry)
        elif change.key.startswith(ZONE_PREFIX):
            zone = ZoneName(change.key.removeprefix(ZONE_PREFIX))
            switch = _decode_document(StoredValue[ZoneSwitch], change)
            _update_table(self._switches, zone, switch)

    def _revision_of(self, key: str) -> Revision:
        held = self._held.get(key)
        return Revision(0) if held is None else held.mod_revision

    def _notify_waiters(self, newer: tuple[ConfigItem, ...]) -> None:
        if newer:
            self._change_count += 1
            self._changed.set()
            self._changed = asyncio.Event()


def _decode_document(
    value_type: type[StoredValue[_Document]], change: ConfigItem
) -> _Document | None:
    if change.deleted:
        return None
    return value_type.model_validate_json(change.value).document


def _update_table(
    table: dict[_Key, _Document], key: _Key, document: _Document | None
) -> None:
    if document is None:
        table.pop(key, None)
    else:
        table[key] = document
