"""Page of configuration items."""

from dataclasses import dataclass

from chiveworks.base import Revision
from chiveworks.catalogue import ConfigItem


@dataclass(frozen=True, slots=True)
class ConfigPage:
    """Configuration items in the order of their revisions, sized for one message.

    Attributes:
        items: The items.
        next_after: Revision after which the next page starts; 0 on the last page.
    """

    items: tuple[ConfigItem, ...] = ()
    next_after: Revision = Revision(0)
