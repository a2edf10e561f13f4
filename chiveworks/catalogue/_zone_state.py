"""State of an availability zone's switch."""

from enum import Enum


class ZoneState(str, Enum):
    """Whether operators let a zone receive work."""

    IN_SERVICE = 'in_service'
    OUT = 'out'
