"""Mode of a link."""

from enum import Enum


class LinkMode(str, Enum):
    """How a link treats connections."""

    #: Relays everything.
    PASS = 'pass'
    #: Refuses new connections; open ones keep working.
    REFUSE = 'refuse'
    #: Resets open connections and refuses new ones.
    CUT = 'cut'
    #: Discards all data of the currently open connections; new ones work.
    SILENT_ESTABLISHED = 'silent_established'
    #: Accepts new connections but discards their data; open ones keep working.
    ACCEPT_AND_IGNORE = 'accept_and_ignore'
