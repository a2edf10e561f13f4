"""Parameters of admission control."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from chiveworks.base import TenantName


@dataclass(frozen=True)
class AdmissionSettings:
    """Parameters of concurrency limits, fairness, rate limits and load shedding.

    Attributes:
        limiter: Name of the limiter of total concurrency.
        limit: Initial limit of requests in progress; with `fixed` it never changes.
        queue_per_tenant: Maximum number of waiting requests of one tenant.
        longest_wait: Maximum wait for admission, regardless of the deadline.
        weights: Relative shares of tenants under contention; 1 for those not listed.
        batch_share: Share of the limit in use from which batch requests are refused.
        burst: Time over which unused tokens of a rate limit accumulate.
    """

    limiter: str = 'adaptive'
    limit: int = 128
    queue_per_tenant: int = 64
    longest_wait: timedelta = timedelta(seconds=2)
    weights: Mapping[TenantName, float] = field(default_factory=dict)
    batch_share: float = 0.7
    burst: timedelta = timedelta(seconds=1)
