"""What a process lends to the shard that it may own."""

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
    """Services of the entry process, alive longer than one tenure.

    Attributes:
        zone: Zone of the process and of the shard.
        zones: All zones.
        entry_id: The process.
        peer_address: Its gRPC address, `ip:port`.
        store: The platform's store.
        replica: Copy of the configuration.
        editor: Writes configuration.
        local: Where the shard's handler is registered.
        owners: Known owners of all shards.
        shards: Calls to the shards of all zones.
        policy: Placement policy.
        queue_order: Name of the order of the queue.
        connect_worker: Opens the control interface of a worker.
        list_workers: Workers of the zone, as listed.
        load_of: Measured processor load of a worker, 0 to 1.
        on_report: Receives each report, for learning.
        sizes: Predicted sizes of tasks by kind.
        estimator: Predicted slowdowns of pairs of kinds.
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
