"""Queue orders for waiting tasks."""

from datetime import timedelta

from chiveworks.placement._demand import Demand
from chiveworks.placement._queue import queue_orders

_MAX_WAIT = timedelta(minutes=30)
_URGENT_LEAD = timedelta(hours=2)
_FULL_QUOTA_DELAY = timedelta(minutes=2)


@queue_orders.register('fifo')
class Fifo:
    """Order of submission, the baseline in benchmarks."""

    def key(self, demand: Demand, sequence: int) -> float:
        """Returns the arrival time in seconds."""
        return demand.arrival.total_seconds()

    def penalty(self, quota_share: float) -> float:
        """Returns 0: all tenants are treated alike."""
        return 0


@queue_orders.register('deadline_fair')
class DeadlineFair:
    """Order by the latest start time that meets the deadline, with aging.

    The key of a task that is not urgent lies between its arrival and `max_wait`
    after it. So a task that has waited for `max_wait` precedes new arrivals that are
    not urgent, and after `max_wait + urgent_lead` it also precedes urgent ones.

    Args:
        max_wait: Wait after which a task precedes new arrivals that are not urgent.
        urgent_lead: Time by which the keys of urgent tasks precede their arrival.
        full_quota_delay: Time added to the keys of a tenant that uses its full quota.
    """

    def __init__(
        self,
        max_wait: timedelta = _MAX_WAIT,
        urgent_lead: timedelta = _URGENT_LEAD,
        full_quota_delay: timedelta = _FULL_QUOTA_DELAY,
    ) -> None:
        self.max_wait = max_wait
        self.urgent_lead = urgent_lead
        self.full_quota_delay = full_quota_delay

    def key(self, demand: Demand, sequence: int) -> float:
        """Returns the bounded latest start time in seconds."""
        arrival = demand.arrival
        if demand.urgent:
            return (arrival - self.urgent_lead).total_seconds()
        latest = arrival + self.max_wait
        if demand.deadline is not None:
            latest = min(latest, max(demand.deadline - demand.run_time, arrival))
        return latest.total_seconds()

    def penalty(self, quota_share: float) -> float:
        """Returns the delay for a tenant's used share of its quota, in seconds."""
        return quota_share * self.full_quota_delay.total_seconds()
