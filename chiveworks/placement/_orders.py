"""Orders of the task queue."""

from datetime import timedelta

from chiveworks.placement._demand import Demand
from chiveworks.placement._queue import queue_orders

_MAX_WAIT = timedelta(minutes=30)
_URGENT_LEAD = timedelta(hours=2)
_FAIRNESS = timedelta(minutes=2)


@queue_orders.register('fifo')
class Fifo:
    """Order of submission, the baseline of measurements."""

    def key(self, demand: Demand, sequence: int) -> float:
        """Returns the arrival in seconds."""
        return demand.arrival.total_seconds()

    def penalty(self, quota_share: float) -> float:
        """Returns 0: teams are not told apart."""
        return 0


@queue_orders.register('deadline_fair')
class DeadlineFair:
    """Order of the latest start that meets the deadline, within limits.

    A key never lies before the arrival nor more than `max_wait` after it, so a
    task that has waited for `max_wait` precedes every later arrival that is not
    urgent, and one that has waited for `max_wait + urgent_lead` precedes all.

    Args:
        max_wait: Wait after which a task precedes later arrivals.
        urgent_lead: Wait by which urgent tasks are moved ahead.
        fairness: Delay, in key time, of a team that uses its whole quota.
    """

    def __init__(
        self,
        max_wait: timedelta = _MAX_WAIT,
        urgent_lead: timedelta = _URGENT_LEAD,
        fairness: timedelta = _FAIRNESS,
    ) -> None:
        self.max_wait = max_wait
        self.urgent_lead = urgent_lead
        self.fairness = fairness

    def key(self, demand: Demand, sequence: int) -> float:
        """Returns the bounded latest start in seconds."""
        arrival = demand.arrival
        if demand.urgent:
            return (arrival - self.urgent_lead).total_seconds()
        latest = arrival + self.max_wait
        if demand.deadline is not None:
            latest = min(latest, max(demand.deadline - demand.run_time, arrival))
        return latest.total_seconds()

    def penalty(self, quota_share: float) -> float:
        """Returns the delay of a team by its used share of the quota, in seconds."""
        return quota_share * self.fairness.total_seconds()
