"""The catalogue replica as the spreading of configuration sees it."""

from collections.abc import Sequence
from typing import Protocol

from chiveworks.base import Revision
from chiveworks.catalogue import ConfigItem


class ConfigReplica(Protocol):
    """Holds the newest known item of every key, tombstones included.

    Tombstones are kept, also those of keys that were never held: a peer that
    lags behind must learn of the deletion from this replica.
    """

    @property
    def revision(self) -> Revision:
        """Revision up to which the replica knows every change."""

    def apply(
        self, items: tuple[ConfigItem, ...], revision: Revision
    ) -> tuple[ConfigItem, ...]:
        """Takes the items that are newer than those held; raises `revision`.

        Returns:
            The items that were newer.
        """

    def items_after(self, revision: Revision) -> Sequence[ConfigItem]:
        """Returns the items held whose revision is above `revision`."""
