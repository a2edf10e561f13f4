"""State and services shared by the components of a shard during one tenure."""

from dataclasses import dataclass

from numpy.random import Generator

from chiveworks.base import Clock
from chiveworks.catalogue import CatalogueReplica
from chiveworks.jobs import JobStore, TaskTable
from chiveworks.scheduler._group_committer import GroupCommitter
from chiveworks.scheduler._shard_metrics import ShardMetrics
from chiveworks.scheduler._tenure import Tenure
from chiveworks.scheduler._timings import SchedulerTimings
from chiveworks.store import Store


@dataclass(frozen=True, slots=True)
class ShardContext:
    """Shared state and services of one tenure.

    Attributes:
        tenure: Zone, owner and epoch.
        table: Jobs, tasks and overrides of the shard.
        committer: Applies changes to the table and writes them to the journal.
        store: The platform's store.
        job_store: Job records in the store.
        replica: Local replica of the configuration.
        clock: Source of time.
        random: Source of random numbers.
        timings: Periods and time limits.
        metrics: Receives measurements.
    """

    tenure: Tenure
    table: TaskTable
    committer: GroupCommitter
    store: Store
    job_store: JobStore
    replica: CatalogueReplica
    clock: Clock
    random: Generator
    timings: SchedulerTimings
    metrics: ShardMetrics
