"""Parameters of the service route."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True)
class ServiceSettings:
    """Bounds on callers' requests.

    Attributes:
        body_bytes: Largest body of a request.
        total_body_bytes: Bodies held at once, in all. They are read before admission, so
            the limits of admission don't bound them.
        longest_deadline: Deadline of requests when neither the caller nor the
            entry gives one, and the longest one a caller may ask for.
        read_timeout: Longest wait for the caller to send the body.
        rate_per_s: Requests a second of one tenant to a service whose entry
            names no rate; 0 for no limit.
    """

    body_bytes: int = 4 * 1024 * 1024
    total_body_bytes: int = 64 * 1024 * 1024
    longest_deadline: timedelta = timedelta(seconds=60)
    read_timeout: timedelta = timedelta(seconds=10)
    rate_per_s: float = 0
