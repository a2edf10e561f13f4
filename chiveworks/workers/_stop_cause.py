"""Why an attempt ended on a worker."""

from enum import Enum


class StopCause(str, Enum):
    """What stopped an attempt."""

    NONE = ''
    #: The scheduler sent a stop command.
    COMMAND = 'command'
    #: The control lease expired.
    LEASE = 'lease'
    #: Someone stopped it on the platform, bypassing the scheduler.
    MANUAL = 'manual'
