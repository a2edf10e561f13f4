"""Phases of a client's connection."""

from enum import IntEnum, auto


class ConnectionPhase(IntEnum):
    """What the process waits for on a connection.

    Numbers, since they are keys of dictionaries that each request uses several times.
    """

    #: The first byte of a request.
    IDLE = auto()
    #: The rest of a header section.
    HEADER = auto()
    #: The rest of a body.
    BODY = auto()
    #: The request's handler; nothing is expected from the client.
    SERVING = auto()
    #: The client, which does not read its response.
    RESPONSE = auto()
    #: The client, which has been refused and is given time to read why.
    CLOSING = auto()
