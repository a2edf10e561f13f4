"""What a link does with connections."""

from enum import Enum


class LinkMode(str, Enum):
    """Fault of a link."""

    #: Relays everything.
    PASS = 'pass'
    #: Refuses new connections; open ones go on.
    REFUSE = 'refuse'
    #: Resets open connections and refuses new ones.
    CUT = 'cut'
    #: Discards all data of the connections open now; new ones work.
    SILENT_ESTABLISHED = 'silent_established'
    #: Accepts new connections and discards their data; open ones go on.
    ACCEPT_AND_IGNORE = 'accept_and_ignore'
