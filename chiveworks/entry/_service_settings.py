"""Parameters of the service route."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True)
class ServiceSettings:
    """Bounds on callers' requests.

    Attributes:
        body_bytes: Largest body of a request.
        longest_deadline: Deadline of requests when neither the caller nor the
            entry gives one, and the longest one a caller may ask for.
    """

    body_bytes: int = 4 * 1024 * 1024
    longest_deadline: timedelta = timedelta(seconds=60)
