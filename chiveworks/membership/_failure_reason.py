"""Causes of failed shard calls."""

from enum import Enum


class FailureReason(str, Enum):
    """Machine-readable cause of a failed shard call."""

    UNSPECIFIED = ''
    #: The called process does not own the shard; another process may.
    NOT_OWNER = 'not_owner'
    #: The idempotency key belongs to a job with different contents.
    KEY_REUSED = 'key_reused'
    #: The catalogue entry was changed concurrently, or the job's home has moved.
    CONFLICT = 'conflict'
    UNKNOWN_ENTRY = 'unknown_entry'
    UNKNOWN_JOB = 'unknown_job'
    UNKNOWN_OVERRIDE = 'unknown_override'
    STORE_UNAVAILABLE = 'store_unavailable'
    #: The zone is out of service; no operation returns this at present.
    ZONE_OUT = 'zone_out'
    #: The handler raised an exception; the peer has logged it.
    INTERNAL = 'internal'
