"""Priority of batch work."""

from enum import Enum


class Priority(str, Enum):
    """Placement priority of a catalogue entry; urgent work is placed first."""

    URGENT = 'urgent'
    NORMAL = 'normal'
