"""Progress of the start of an attempt."""

from enum import Enum


class StartPhase(Enum):
    """How far the shard owner got with the start of an attempt."""

    #: The claim is being written; no start was sent yet.
    CLAIMING = 'claiming'
    #: The start was sent; its outcome is not known yet.
    SENT = 'sent'
    #: The worker confirmed the start.
    CONFIRMED = 'confirmed'
