"""Answer to a watch."""

from dataclasses import dataclass

from chiveworks.base import Revision
from chiveworks.store._watch_event import WatchEvent


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes after the given revision; none when the wait ended without one.

    Attributes:
        revision: Revision from which to watch next.
        events: Changes in the order of their revisions.
        compacted: The store no longer holds the history; list the prefix again.
    """

    revision: Revision
    events: tuple[WatchEvent, ...]
    compacted: bool = False
