"""Reasons for which a client is refused or its connection is closed."""

from enum import Enum


class TurnAwayReason(Enum):
    """Why a client was turned away; the values are labels of the metrics."""

    #: A new connection at the limit of connections, when none can be closed for it.
    CONNECTIONS = 'connections'
    #: An idle connection, for a new one at the limit of connections.
    IDLE_EVICTED = 'idle_evicted'
    #: A stalled or slow request, for another one that needs its memory or descriptor.
    STALLED = 'stalled'
    #: A body for which the memory budget has no room.
    MEMORY = 'memory'
    #: A body in chunks so small that they cost too much processor time.
    SMALL_CHUNKS = 'small_chunks'
    BODY_TOO_LARGE = 'body_too_large'
    HEADER_TOO_LARGE = 'header_too_large'
    HEADER_TIMEOUT = 'header_timeout'
    IDLE_TIMEOUT = 'idle_timeout'
    BODY_TIMEOUT = 'body_timeout'
    RESPONSE_TIMEOUT = 'response_timeout'
    MALFORMED = 'malformed'
    #: An unfinished body when the process stops.
    STOPPING = 'stopping'
    #: The client has left before the end of its body.
    DISCONNECTED = 'disconnected'
