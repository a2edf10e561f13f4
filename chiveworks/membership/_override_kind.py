"""What somebody changed by hand."""

from enum import Enum


class OverrideKind(str, Enum):
    """Kind of a manual override."""

    STOPPED = 'stopped'
    MOVED = 'moved'
    RESIZED = 'resized'
    UNCLAIMED = 'unclaimed'
