"""Services that an entry process provides to a shard."""

from collections.abc import Callable
from dataclasses import dataclass

from numpy.random import Generator

from chiveworks.base import Clock, EntryId, WorkerId, ZoneName
from chiveworks.catalogue import CatalogueEditor, CatalogueReplica
from chiveworks.instances import Instance
from chiveworks.membership import LocalShard, OwnerTable, ShardClient
from chiveworks.placement import PlacementPolicy, SizeEstimator, SlowdownEstimator
from chiveworks.scheduler._report_observer import ReportObserver
from chiveworks.scheduler._shard_metrics import ShardMetrics
from chiveworks.scheduler._timings import SchedulerTimings
from chiveworks.store import Store
from chiveworks.workers import WorkerControl


@dataclass(frozen=True, slots=True)
class ShardEnvironment:
    """Services of the entry process; they outlive a tenure.

    Attributes:
        zone: Zone of the shard. The process may be in another zone if this one is
            out of service.
        zones: All zones.
        entry_id: Id of the entry process.
        peer_address: gRPC address of the entry process, `ip:port`.
        store: The platform's store.
        replica: Local replica of the configuration.
        editor: Writes the configuration.
        local: Where the shard's handler is registered.
        owners: Known owners of all shards.
        shards: Calls to the shards of all zones.
        policy: Placement policy.
        queue_order: Name of the order of the task queue.
        connect_worker: Opens the control interface of a worker.
        list_workers: Returns the workers of the zone that are currently listed.
        load_of: Returns the measured CPU load of a worker, 0 to 1.
        on_report: Observer of all workers' reports.
        sizes: Predicts the sizes of tasks by kind.
        estimator: Predicts the slowdowns of pairs of kinds.
        tolerated_slowdown: Slowdown of services above which they are protected.
        metrics: Receives measurements.
        clock: Source of time.
        random: Source of random numbers.
        timings: Periods and limits.
    """

    zone: ZoneName
    zones: tuple[ZoneName, ...]
    entry_id: EntryId
    peer_address: str
    store: Store
    replica: CatalogueReplica
    editor: CatalogueEditor
    local: LocalShard
    owners: OwnerTable
    shards: ShardClient
    policy: PlacementPolicy
    queue_order: str
    connect_worker: Callable[[Instance], WorkerControl]
    list_workers: Callable[[], tuple[Instance, ...]]
    load_of: Callable[[WorkerId], float]
    on_report: ReportObserver
    estimator: SlowdownEstimator
    sizes: SizeEstimator
    tolerated_slowdown: float
    metrics: ShardMetrics
    clock: Clock
    random: Generator
    timings: SchedulerTimings
