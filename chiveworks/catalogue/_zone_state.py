"""State of a zone switch."""

from enum import Enum


class ZoneState(str, Enum):
    """Whether operators allow an availability zone to receive work."""

    IN_SERVICE = 'in_service'
    OUT = 'out'
