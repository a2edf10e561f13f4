"""Creates the candidate for the ownership of a shard."""

from collections.abc import Mapping
from datetime import timedelta

import numpy as np

from chiveworks.base import Clock, TaskId, ZoneName
from chiveworks.entry import _translate_settings as translate
from chiveworks.entry._instance_watcher import InstanceWatcher
from chiveworks.entry._peer_network import PeerNetwork
from chiveworks.entry._platform import Platform
from chiveworks.instances import Instance
from chiveworks.placement import (
    InterferenceLearner,
    PlacementPolicy,
    SizeEstimator,
    SizeLearner,
    SlowdownEstimator,
    placement_policies,
)
from chiveworks.scheduler import ShardCandidate, ShardEnvironment
from chiveworks.settings import Settings
from chiveworks.telemetry import Metrics
from chiveworks.workers import WorkerReport

_NO_DELAY = timedelta(0)
_POLICY_WITHOUT_ESTIMATOR = 'first_fit'


def create_candidate(
    settings: Settings,
    platform: Platform,
    network: PeerNetwork,
    watcher: InstanceWatcher,
    metrics: Metrics,
    clock: Clock,
    zone: ZoneName,
    contend_delay: timedelta = _NO_DELAY,
) -> ShardCandidate:
    """Returns a candidate for the ownership of the shard of `zone`.

    Args:
        settings: Settings of the process.
        platform: Clients of the platform's services.
        network: Connections to the other entry processes.
        watcher: Copy of the instance list.
        metrics: Receives measurements.
        clock: Source of time.
        zone: Zone of the shard.
        contend_delay: Delay between noticing that the shard has no owner and trying
            to acquire it.
    """
    is_own = zone == settings.zone
    estimator = SlowdownEstimator(clock)
    learner = InterferenceLearner(estimator, clock)
    sizes = SizeEstimator()
    size_learner = SizeLearner(sizes)

    def observe(
        instance: Instance, report: WorkerReport, kinds: Mapping[TaskId, str]
    ) -> None:
        learner.observe(instance, report, kinds)
        size_learner.observe(instance, report, kinds)

    return ShardCandidate(
        ShardEnvironment(
            zone=zone,
            zones=tuple(settings.zone_latencies_ms),
            entry_id=settings.entry_id,
            peer_address=network.own.address,
            store=platform.store,
            replica=platform.replica,
            editor=platform.editor,
            local=network.local if is_own else network.local.of_zone(zone),
            owners=network.owners,
            shards=network.shards,
            policy=_create_policy(settings, estimator),
            queue_order=settings.placement.queue_order,
            connect_worker=platform.connect_worker,
            list_workers=lambda: watcher.workers_in(zone),
            load_of=learner.load_of,
            on_report=observe,
            estimator=estimator,
            sizes=sizes,
            tolerated_slowdown=settings.placement.tolerated_slowdown,
            metrics=metrics,
            clock=clock,
            random=np.random.default_rng(),
            timings=translate.to_timings(settings),
        ),
        contend_delay,
    )


def _create_policy(settings: Settings, estimator: SlowdownEstimator) -> PlacementPolicy:
    name = settings.placement.policy
    if name == _POLICY_WITHOUT_ESTIMATOR:
        return placement_policies.create(name)
    return placement_policies.create(
        name, estimator=estimator, weights=translate.to_weights(settings)
    )
