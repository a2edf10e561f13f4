"""Placement policy that minimizes predicted interference between tasks."""

import math
from collections.abc import Iterable
from datetime import timedelta

from chiveworks.base import ServiceClass, WorkerId, check_positive
from chiveworks.placement._candidate import Candidate
from chiveworks.placement._demand import Demand
from chiveworks.placement._policy import placement_policies
from chiveworks.placement._slowdown_estimator import SlowdownEstimator
from chiveworks.placement._weights import PlacementWeights

_MILLICORES = 1000
_SERVICE_WEIGHT = 3
#: Relative to first fit on the quimperle backlog in bench_decisions, 0.7 instead of 1
#: lowers the p99 latency from 0.65 to 0.60 and the completed work from 1.05 to 1.04.
_MAX_INTERFERENCE = 0.7
_DOUBLING_TIME = timedelta(minutes=2)
#: Cost of a failed start, in units of excess slowdown.
_FAILED_START_COST = 0.5
#: Cost of a task without accelerators on a worker that has them free, in units of
#: excess slowdown; keeps accelerators for the tasks that need them.
_ACCELERATOR_COST = 0.2


@placement_policies.register('interference_aware')
class InterferenceAware:
    """Chooses the candidate with the lowest cost.

    The cost is the interference plus the costs of fragmented resources and of failed
    starts. Interference is the predicted excess slowdown (slowdown minus 1) that the
    task suffers and causes, with different weights for services and batch work.

    Args:
        estimator: Slowdown estimator, trained by the caller.
        weights: Weights of the objectives.
        max_interference: Interference, in units of the batch throughput weight, above
            which batch tasks that are not urgent wait instead of starting.
        doubling_time: Waiting time of a task after which this limit has doubled; it
            grows linearly.
    """

    def __init__(
        self,
        estimator: SlowdownEstimator,
        weights: PlacementWeights | None = None,
        max_interference: float = _MAX_INTERFERENCE,
        doubling_time: timedelta = _DOUBLING_TIME,
    ) -> None:
        self.estimator = estimator
        self.weights = weights or PlacementWeights()
        self.max_interference = max_interference
        self.doubling_time = doubling_time

    def choose(
        self, demand: Demand, candidates: Iterable[Candidate]
    ) -> WorkerId | None:
        """Returns the worker with the lowest cost, or None if the task must wait."""
        self.estimator.refresh_if_due()
        limit = self._limit(demand)
        best: tuple[float, WorkerId] | None = None
        for candidate in candidates:
            if not candidate.accepts(demand):
                continue
            interference = self.interference(demand, candidate)
            if interference > limit:
                continue
            cost = interference + self._other_costs(demand, candidate)
            if best is None or cost < best[0]:
                best = (cost, candidate.worker_id)
        return best[1] if best else None

    def interference(self, demand: Demand, candidate: Candidate) -> float:
        """Returns the weighted excess slowdown of the demand and its neighbours."""
        load = candidate.load_with(demand)
        own_weight = self._weight(demand.service_class is ServiceClass.LATENCY_CRITICAL)
        cost = float(0)
        for kind, count in candidate.kinds.items():
            suffered = self.estimator.pair_excess(demand.kind, kind, load)
            caused = self.estimator.pair_excess(kind, demand.kind, load)
            other_weight = self._weight(kind in candidate.service_kinds)
            cost += count * (own_weight * suffered + other_weight * caused)
        return cost

    def _limit(self, demand: Demand) -> float:
        """Returns the interference above which the task should wait.

        There is no limit for services and urgent tasks. The limit of other tasks grows
        while they wait, to prevent starvation.
        """
        check_positive('batch_throughput', self.weights.batch_throughput)
        if demand.urgent or demand.service_class is ServiceClass.LATENCY_CRITICAL:
            return math.inf
        waited = self.estimator.clock.monotonic() - demand.arrival
        relaxed = 1 + waited / self.doubling_time
        return self.weights.batch_throughput * relaxed * self.max_interference

    def _other_costs(self, demand: Demand, candidate: Candidate) -> float:
        return (
            self.weights.zone_work * self._fragmentation_cost(demand, candidate)
            + _FAILED_START_COST * candidate.failed_starts
        )

    def _weight(self, is_service: bool) -> float:
        if is_service:
            return self.weights.tail_latency
        return self.weights.batch_throughput

    def _fragmentation_cost(self, demand: Demand, candidate: Candidate) -> float:
        """Returns the cost of leaving resources that few other tasks can use.

        It grows with the imbalance of free processors and memory after placement,
        since most tasks cannot use a worker that has only one of the two left.
        Occupying a worker with free accelerators that the task does not need adds to
        the cost.
        """
        left = candidate.free - demand.resources
        cpu = left.cpu_millicores / max(candidate.capacity.cpu_millicores, 1)
        memory = left.memory_bytes / max(candidate.capacity.memory_bytes, 1)
        cost = abs(cpu - memory) / 10
        if candidate.free.accelerators and not demand.resources.accelerators:
            cost += _ACCELERATOR_COST
        return cost
