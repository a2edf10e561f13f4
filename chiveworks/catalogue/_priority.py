"""Priority of an entry's batch work."""

from enum import Enum


class Priority(str, Enum):
    """Whether work is placed before other work."""

    URGENT = 'urgent'
    NORMAL = 'normal'
