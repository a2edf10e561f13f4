"""Interface of the catalogue replica for propagating the configuration."""

from collections.abc import Sequence
from typing import Protocol

from chiveworks.base import Revision
from chiveworks.catalogue import ConfigItem


class ConfigReplica(Protocol):
    """Holds the latest known item of every key, tombstones included.

    Tombstones are kept even for keys that the replica never held, because a lagging
    peer may depend on this replica to learn of the deletion.
    """

    @property
    def revision(self) -> Revision:
        """Revision up to which the replica has every change."""

    def apply(
        self, items: tuple[ConfigItem, ...], revision: Revision
    ) -> tuple[ConfigItem, ...]:
        """Applies the items newer than those held; advances `revision`.

        Returns:
            The items that were newer.
        """

    def items_after(self, revision: Revision) -> Sequence[ConfigItem]:
        """Returns the items held whose revision is above `revision`."""
