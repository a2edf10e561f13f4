"""Configuration changes on their way to a peer."""

from dataclasses import dataclass

from chiveworks.base import Revision
from chiveworks.catalogue import ConfigItem


@dataclass(frozen=True, slots=True)
class ConfigPush:
    """All changes after one revision up to another.

    Attributes:
        items: The items that changed.
        after: Revision that the receiver must know for the push to be gapless.
        revision: Revision up to which the push is complete.
    """

    items: tuple[ConfigItem, ...]
    after: Revision
    revision: Revision
