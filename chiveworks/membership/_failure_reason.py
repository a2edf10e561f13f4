"""Causes of failed shard calls."""

from enum import Enum


class FailureReason(str, Enum):
    """Machine-readable cause of a failed shard call."""

    UNSPECIFIED = ''
    #: The called process does not own the shard; another process may.
    NOT_OWNER = 'not_owner'
    #: The key belongs to a job with different contents.
    KEY_REUSED = 'key_reused'
    #: A compare-and-swap failed because of a concurrent change.
    CONFLICT = 'conflict'
    UNKNOWN_ENTRY = 'unknown_entry'
    UNKNOWN_JOB = 'unknown_job'
    UNKNOWN_OVERRIDE = 'unknown_override'
    STORE_UNAVAILABLE = 'store_unavailable'
    ZONE_OUT = 'zone_out'
    #: The handler raised an exception; the peer has logged it.
    INTERNAL = 'internal'
