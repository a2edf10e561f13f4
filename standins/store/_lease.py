"""Lease of the stand-in for the key-value store."""

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(slots=True)
class Lease:
    """Time to live, expiry time and attached keys of a lease."""

    ttl: timedelta
    expires_at: timedelta
    keys: set[str] = field(default_factory=set)
