"""A lease of the store."""

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(slots=True)
class Lease:
    """Time to live, the time of its expiry, and the attached keys."""

    ttl: timedelta
    expires_at: timedelta
    keys: set[str] = field(default_factory=set)
