"""Periods and limits of a shard's scheduling."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class SchedulerTimings:
    """Periods and limits, from the settings of the entry process.

    A worker's lease outlasts the change from a killed owner to its successor:
    two renewal periods (a renewal quotes the ticket of the one before), the
    shard's lease, and 4 s to notice the vacancy and replay the journal.

    Attributes:
        worker_lease: Length of a worker's control lease.
        worker_renew: Period of renewals of a worker that runs tasks.
        backlog_worker_renew: Period for a worker that runs tasks while others wait.
        idle_worker_renew: Period of renewals of a worker that runs none.
        shard_lease: Time to live of the shard's ownership in the store.
        shard_renew: Period of its renewal.
        commit_tick: Least time between two journal records.
        ticket_max_age: Age at which workers refuse a start.
        ticket_fresh_age: Age up to which a ticket is quoted without asking anew.
        store_outage_tolerance: How long leases are renewed without the store.
        stop_repeat: Time after which an unconfirmed stop is sent again.
        unschedulable_after: Time after which a job that fits no worker is refused.
    """

    worker_lease: timedelta = timedelta(seconds=20)
    worker_renew: timedelta = timedelta(seconds=4)
    backlog_worker_renew: timedelta = timedelta(seconds=1)
    idle_worker_renew: timedelta = timedelta(seconds=8)
    shard_lease: timedelta = timedelta(seconds=6)
    shard_renew: timedelta = timedelta(seconds=2)
    commit_tick: timedelta = timedelta(milliseconds=250)
    ticket_max_age: timedelta = timedelta(seconds=2)
    ticket_fresh_age: timedelta = timedelta(milliseconds=500)
    store_outage_tolerance: timedelta = timedelta(minutes=15)
    stop_repeat: timedelta = timedelta(seconds=3)
    unschedulable_after: timedelta = timedelta(seconds=5)

    @property
    def lease_bound(self) -> timedelta:
        """Time after which a lease has certainly lapsed by this process's clock.

        Counted from the receipt of the ticket that the renewal quoted. The factor
        covers clocks that run at different speeds.
        """
        return self.worker_lease * 1.05 + timedelta(milliseconds=500)

    @property
    def predecessor_lease_bound(self) -> timedelta:
        """Time a new owner waits for workers that it cannot reach.

        A former owner without contact to the store renews leases this long.
        """
        return self.store_outage_tolerance + self.lease_bound
