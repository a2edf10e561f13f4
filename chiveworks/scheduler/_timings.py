"""Periods and time limits of a shard's scheduling."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class SchedulerTimings:
    """Periods and time limits, from the settings of the entry process.

    A worker's lease must outlast the change from a killed owner to its successor.
    That takes two renewal periods (a renewal quotes the ticket of the previous one),
    the time to live of the shard lease, and 4 s to notice that the shard has no
    owner and to replay the journal.

    Attributes:
        worker_lease: Duration of a worker's control lease.
        worker_renew: Renewal period of workers that run tasks.
        backlog_worker_renew: Renewal period of workers that run tasks while other
            tasks wait.
        idle_worker_renew: Renewal period of workers that run no tasks.
        shard_lease: Time to live of the shard's owner key in the store.
        shard_renew: Renewal period of the shard lease.
        commit_tick: Minimum time between two journal records; also the pause between
            two rounds of starts and between two passes of the evacuation.
        ticket_max_age: Ticket age above which workers refuse a start.
        ticket_fresh_age: Ticket age up to which a start uses the ticket without
            fetching a new one.
        store_outage_tolerance: Time for which worker leases are renewed although the
            store does not respond.
        stop_repeat: Time after which an unconfirmed stop is sent again.
        unschedulable_after: Time after which a job that fits no worker is marked
            unschedulable.
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
        """Time after which a worker lease has lapsed, on this process's clock.

        Counted from the receipt of the ticket that the renewal quoted. The factor
        allows for clock drift between processes.
        """
        return self.worker_lease * 1.05 + timedelta(milliseconds=500)

    @property
    def predecessor_lease_bound(self) -> timedelta:
        """Time for which a new owner waits for workers that it cannot reach.

        For this long, leases renewed by a former owner that has lost contact with
        the store may be valid.
        """
        return self.store_outage_tolerance + self.lease_bound
