"""Settings of the service route."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True)
class ServiceSettings:
    """Limits on clients' requests.

    Attributes:
        body_bytes: Maximum size of a request body.
        total_body_bytes: Maximum size of all request bodies in memory. Bodies are
            read before admission, so admission limits don't bound them.
        longest_deadline: Default and maximum deadline of requests to services whose
            catalogue entry sets none.
        read_timeout: Maximum time for the client to send the body.
        rate_per_s: Requests per second of one tenant to a service whose catalogue
            entry sets no rate; 0 for no limit.
    """

    body_bytes: int = 4 * 1024 * 1024
    total_body_bytes: int = 64 * 1024 * 1024
    longest_deadline: timedelta = timedelta(seconds=60)
    read_timeout: timedelta = timedelta(seconds=10)
    rate_per_s: float = 0
