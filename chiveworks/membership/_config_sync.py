"""Rules by which a replica of the configuration applies changes."""

from collections.abc import Iterable, Sequence

from chiveworks.base import Revision
from chiveworks.catalogue import ConfigItem
from chiveworks.membership._config_page import ConfigPage
from chiveworks.membership._config_replica import ConfigReplica
from chiveworks.membership._paging import first_page, sorted_by_revision
from chiveworks.membership._peer_status import PeerStatus


class ConfigSync:
    """Applies changes to the replica so that it never goes back to an older state.

    The replica has every change up to its revision. It may also hold later items
    from a push that left a gap. Two rules follow: an item at or below the revision
    is dropped, because it is already held or has since been replaced or deleted;
    and the revision advances only by a batch that starts at or below it.

    A full listing does not show which keys were deleted before it. Tombstones are
    therefore complete only above the revision of the last listing (the floor), and
    a peer whose revision is below the floor needs a full listing to catch up.
    """

    def __init__(self, replica: ConfigReplica) -> None:
        self._replica = replica
        self._floor = Revision(0)
        self._last_change = Revision(0)
        self._has_full_listing = False

    @property
    def revision(self) -> Revision:
        """Revision up to which the replica has every change."""
        return self._replica.revision

    @property
    def floor(self) -> Revision:
        """Revision above which the tombstones are complete."""
        return self._floor

    @property
    def has_full_listing(self) -> bool:
        """Whether a full listing has been received since the process started."""
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
        """Applies all changes after `after`, up to and including `revision`.

        Returns:
            The items that were newer than those held.
        """
        known = self._replica.revision
        unseen = tuple(item for item in items if item.mod_revision > known)
        new_revision = max(known, revision) if after <= known else known
        return self._replica.apply(unseen, new_revision)

    def apply_listing(
        self, items: Sequence[ConfigItem], revision: Revision
    ) -> tuple[ConfigItem, ...]:
        """Applies a listing of all keys at `revision`.

        Keys that are held but not listed become tombstones at that revision.

        Returns:
            The items that were newer than those held.
        """
        self._has_full_listing = True
        if revision <= self._replica.revision:
            return ()
        listed = {item.key for item in items}
        missing = [
            ConfigItem(item.key, b'', revision, deleted=True)
            for item in self._replica.items_after(Revision(0))
            if item.key not in listed and item.mod_revision <= revision
        ]
        newer = self._replica.apply((*items, *missing), revision)
        self._floor = revision
        return newer

    def advance_revision_from(self, status: PeerStatus) -> None:
        """Advances to the peer's revision if nothing has changed in between.

        A revision below the peer's floor is not advanced, because the peer's
        tombstones are incomplete there.
        """
        known = self._replica.revision
        if known >= max(status.last_change, status.floor):
            self.apply_changes((), known, status.revision)

    def changes_page(self, after: Revision, limit_bytes: int) -> ConfigPage:
        """Returns the first page of changes after a peer's revision.

        The page is empty if that revision is below the floor.
        """
        if after < self._floor:
            return ConfigPage()
        return first_page(
            sorted_by_revision(self._replica.items_after(after)), limit_bytes
        )

    def complete_page(self, after: Revision, limit_bytes: int) -> ConfigPage:
        """Returns a page of all items above revision `after`, tombstones included.

        Only the last page contains items above the replica's revision. An item that
        arrives between two pages is therefore never below the start of the next.
        """
        known = self._replica.revision
        pending = sorted_by_revision(self._replica.items_after(after))
        settled = [item for item in pending if item.mod_revision <= known]
        page = first_page(settled, limit_bytes)
        if page.next_after:
            return page
        return ConfigPage(tuple(pending))
