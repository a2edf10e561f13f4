"""Result of a watch."""

from dataclasses import dataclass

from chiveworks.base import Revision
from chiveworks.store._watch_event import WatchEvent


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes after the given revision; empty when there were none in time.

    Attributes:
        revision: Revision to pass to the next watch.
        events: Changes, ordered by revision.
        compacted: Whether the store no longer holds the requested history, so that
            the prefix must be listed again.
    """

    revision: Revision
    events: tuple[WatchEvent, ...]
    compacted: bool = False
