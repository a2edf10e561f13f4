"""Why an attempt ended on a worker."""

from enum import Enum


class StopCause(str, Enum):
    """Who or what stopped an attempt."""

    NONE = ''
    #: The scheduler sent a stop command.
    COMMAND = 'command'
    #: The control lease lapsed.
    LEASE = 'lease'
    #: Somebody stopped it on the platform, past the scheduler.
    MANUAL = 'manual'
