"""Parameters of admission."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from chiveworks.base import TenantName


@dataclass(frozen=True)
class AdmissionSettings:
    """Parameters of concurrency, fairness, rates and shedding.

    Attributes:
        limiter: Name of the limiter of total concurrency.
        limit: Requests in progress at the start, or always with `fixed`.
        queue_per_tenant: Requests of one tenant that may wait.
        longest_wait: Longest wait for admission, whatever the deadline.
        weights: Shares of tenants under contention; 1 for those not listed.
        batch_share: Share of the limit in use from which batch entries are refused.
        burst: Time over which an unused rate accumulates.
    """

    limiter: str = 'adaptive'
    limit: int = 128
    queue_per_tenant: int = 64
    longest_wait: timedelta = timedelta(seconds=2)
    weights: Mapping[TenantName, float] = field(default_factory=dict)
    batch_share: float = 0.7
    burst: timedelta = timedelta(seconds=1)
