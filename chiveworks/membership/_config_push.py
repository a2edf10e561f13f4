"""Push of configuration changes to a peer."""

from dataclasses import dataclass

from chiveworks.base import Revision
from chiveworks.catalogue import ConfigItem


@dataclass(frozen=True, slots=True)
class ConfigPush:
    """All changes after the revision `after`, up to and including `revision`.

    Attributes:
        items: The items that changed.
        after: Revision before the first change; a receiver below it has a gap.
        revision: Last revision of the range.
    """

    items: tuple[ConfigItem, ...]
    after: Revision
    revision: Revision
