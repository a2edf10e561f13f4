"""Push of configuration changes to a peer."""

from dataclasses import dataclass

from chiveworks.base import Revision
from chiveworks.catalogue import ConfigItem


@dataclass(frozen=True, slots=True)
class ConfigPush:
    """All changes after the revision `after`, up to and including `revision`.

    A listing of the store omits some changes. It is pushed with `after` equal to
    `revision`, so that receivers apply the items but keep their own revision.

    Attributes:
        items: The items that changed.
        after: Revision at which the range starts, exclusive. A receiver with a lower
            revision misses the changes in between.
        revision: Last revision of the range.
    """

    items: tuple[ConfigItem, ...]
    after: Revision
    revision: Revision
