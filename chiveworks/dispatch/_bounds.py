"""Limits that the platform sets for the scheduler."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class SchedulingBounds:
    """Limits of a deployment.

    Attributes:
        lease_limit: Longest lease that a worker grants.
        stop_limit: Longest time that a worker takes for a stop.
        early_limit: How long before its due time an occurrence may start.
        retention: Minimum time for which the outcome of an ended job can be queried.
        account_overrun: Part of an account's limit by which its running tasks may exceed
            that limit.
        remote_factor: Duration of a run away from its data or its group, as a multiple
            of a near one.
    """

    lease_limit: timedelta
    stop_limit: timedelta
    early_limit: timedelta
    retention: timedelta
    account_overrun: float = 0
    remote_factor: float = 1.0
