"""Reasons that a caller of a shard can act on."""

from enum import Enum


class FailureReason(str, Enum):
    """Machine-readable cause of a failed shard call."""

    UNSPECIFIED = ''
    #: The process does not own the shard; another one may.
    NOT_OWNER = 'not_owner'
    #: The key belongs to a job with other contents.
    KEY_REUSED = 'key_reused'
    #: A compare-and-swap lost against a concurrent change.
    CONFLICT = 'conflict'
    UNKNOWN_ENTRY = 'unknown_entry'
    UNKNOWN_JOB = 'unknown_job'
    UNKNOWN_OVERRIDE = 'unknown_override'
    STORE_UNAVAILABLE = 'store_unavailable'
    ZONE_OUT = 'zone_out'
    #: The handler raised an exception; the log of the peer has the details.
    INTERNAL = 'internal'
