"""Progress of an attempt's start."""

from enum import Enum


class StartPhase(Enum):
    """How far this owner got with the start of an attempt."""

    #: The claim is being written; nothing was sent.
    CLAIMING = 'claiming'
    #: The start was sent and its answer is missing.
    SENT = 'sent'
    #: The worker confirmed the start.
    CONFIRMED = 'confirmed'
