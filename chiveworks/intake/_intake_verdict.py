"""Outcomes of client requests."""

import enum


class IntakeVerdict(enum.Enum):
    """Outcome of a client request."""

    ACCEPTED = 'accepted'
    #: The request had no effect; the client may retry it.
    REFUSED = 'refused'
    #: Like `REFUSED`; too many unknown jobs have been cancelled lately.
    THROTTLED = 'throttled'
    #: The request may or may not have had an effect.
    UNKNOWN = 'unknown'
    NOT_FOUND = 'not_found'
    #: The job was cancelled or refused before it was stored, and never runs.
    WITHDRAWN = 'withdrawn'
    #: The job belongs to another client account; the request had no effect.
    FOREIGN = 'foreign'
    #: The stored record of the job cannot be read.
    UNREADABLE = 'unreadable'
