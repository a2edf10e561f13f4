"""Decides what a replica of the configuration may take from whom."""

from collections.abc import Iterable, Sequence

from chiveworks.base import Revision
from chiveworks.catalogue import ConfigItem
from chiveworks.membership._config_page import ConfigPage
from chiveworks.membership._config_replica import ConfigReplica
from chiveworks.membership._paging import first_page, sorted_by_revision
from chiveworks.membership._peer_status import PeerStatus


class ConfigSync:
    """Applies changes to the replica so that it never reverts.

    The replica knows every change up to its revision; it may also hold later items
    that arrived by a push with a gap before it. Two rules follow. An item at or
    below the revision is dropped: it is held already, or was replaced or deleted
    since. The revision rises only with a batch that starts at or below it.

    A full listing does not tell which keys were deleted before it. The tombstones
    are therefore complete only above the revision of the last listing (the floor),
    and a peer that knows less than that cannot catch up by changes alone.
    """

    def __init__(self, replica: ConfigReplica) -> None:
        self._replica = replica
        self._floor = Revision(0)
        self._last_change = Revision(0)
        self._has_full_listing = False

    @property
    def revision(self) -> Revision:
        """Revision up to which the replica knows every change."""
        return self._replica.revision

    @property
    def floor(self) -> Revision:
        """Revision above which the tombstones are complete."""
        return self._floor

    @property
    def has_full_listing(self) -> bool:
        """Whether the replica has taken a full listing since the start."""
        return self._has_full_listing

    @property
    def last_change(self) -> Revision:
        """Highest revision of an item in the replica."""
        for item in self._replica.items_after(self._last_change):
            self._last_change = max(self._last_change, item.mod_revision)
        return self._last_change

    def apply_changes(
        self, items: Iterable[ConfigItem], after: Revision, revision: Revision
    ) -> tuple[ConfigItem, ...]:
        """Takes all changes after `after` up to `revision`.

        Returns:
            The items that were newer than those held.
        """
        known = self._replica.revision
        unseen = tuple(item for item in items if item.mod_revision > known)
        reached = max(known, revision) if after <= known else known
        return self._replica.apply(unseen, reached)

    def apply_listing(
        self, items: Sequence[ConfigItem], revision: Revision
    ) -> tuple[ConfigItem, ...]:
        """Takes a listing of all keys at `revision`.

        Keys that are held but not listed become tombstones at that revision.

        Returns:
            The items that were newer than those held.
        """
        self._has_full_listing = True
        if revision <= self._replica.revision:
            return ()
        listed = {item.key for item in items}
        vanished = [
            ConfigItem(item.key, b'', revision, deleted=True)
            for item in self._replica.items_after(Revision(0))
            if item.key not in listed and item.mod_revision <= revision
        ]
        newer = self._replica.apply((*items, *vanished), revision)
        self._floor = revision
        return newer

    def advance_revision_from(self, status: PeerStatus) -> None:
        """Raises the revision if a peer that knows more has no later change."""
        known = self._replica.revision
        if known >= max(status.last_change, status.floor):
            self.apply_changes((), known, status.revision)

    def changes_page(self, after: Revision, limit_bytes: int) -> ConfigPage:
        """Returns the first changes after a peer's revision.

        The page is empty when that revision is below the floor.
        """
        if after < self._floor:
            return ConfigPage()
        return first_page(
            sorted_by_revision(self._replica.items_after(after)), limit_bytes
        )

    def complete_page(self, after: Revision, limit_bytes: int) -> ConfigPage:
        """Returns a part of everything held, tombstones included.

        Only the last page holds items above the revision. An item that arrives
        between two pages therefore never falls behind the start of the next one.
        """
        known = self._replica.revision
        pending = sorted_by_revision(self._replica.items_after(after))
        settled = [item for item in pending if item.mod_revision <= known]
        page = first_page(settled, limit_bytes)
        if page.next_after:
            return page
        return ConfigPage(tuple(pending))
