"""Placement by predicted harm between tasks on one worker."""

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
_SERVICE_STAKE = 3
#: bench_decisions, quimperle's backlog: 0.7 against 1 lowers p99 from 0.65 to
#: 0.60 of naive, with 1.04 against 1.05 of its work.
_CEILING = 0.7
_PATIENCE = timedelta(minutes=2)
#: A failed start costs about as much as a slowdown by this share.
_SUSPICION_COST = 0.5
#: Keeps accelerators free for tasks that need them; ties with a mild slowdown.
_ACCELERATOR_COST = 0.2


@placement_policies.register('interference_aware')
class InterferenceAware:
    """Takes the candidate with the least predicted harm.

    Harm is the predicted excess slowdown (slowdown minus 1) that the task
    suffers and causes, weighted by service or batch work.

    Args:
        estimator: Estimates of slowdown, kept up to date by the caller.
        weights: Importance of the users' measures.
        ceiling: Harm, in weights of batch throughput, above which batch work
            that is not urgent waits rather than starts.
        patience: Wait by which the ceiling has doubled.
    """

    def __init__(
        self,
        estimator: SlowdownEstimator,
        weights: PlacementWeights | None = None,
        ceiling: float = _CEILING,
        patience: timedelta = _PATIENCE,
    ) -> None:
        self.estimator = estimator
        self.weights = weights or PlacementWeights()
        self.ceiling = ceiling
        self.patience = patience

    def choose(
        self, demand: Demand, candidates: Iterable[Candidate]
    ) -> WorkerId | None:
        """Returns the worker with the least harm among those that accept."""
        self.estimator.refresh_if_due()
        limit = self._limit(demand)
        best: tuple[float, WorkerId] | None = None
        for candidate in candidates:
            if not candidate.accepts(demand):
                continue
            interference = self.interference(demand, candidate)
            if interference > limit:
                continue
            harm = interference + self._other_costs(demand, candidate)
            if best is None or harm < best[0]:
                best = (harm, candidate.worker_id)
        return best[1] if best else None

    def interference(self, demand: Demand, candidate: Candidate) -> float:
        """Returns the weighted excess slowdown of the demand and its neighbours."""
        load = candidate.load_with(demand)
        own = self._weight(demand.service_class is ServiceClass.LATENCY_CRITICAL)
        cost = float(0)
        for kind, count in candidate.kinds.items():
            suffered = self.estimator.pair_excess(demand.kind, kind, load)
            caused = self.estimator.pair_excess(kind, demand.kind, load)
            other = self._weight(kind in candidate.service_kinds)
            cost += count * (own * suffered + other * caused)
        return cost

    def _limit(self, demand: Demand) -> float:
        """Returns the interference above which batch work should rather wait.

        The limit grows while the task waits, so that no kind is starved.
        """
        check_positive('batch_throughput', self.weights.batch_throughput)
        if demand.urgent or demand.service_class is ServiceClass.LATENCY_CRITICAL:
            return math.inf
        waited = self.estimator.clock.monotonic() - demand.arrival
        relaxed = 1 + waited / self.patience
        return self.weights.batch_throughput * relaxed * self.ceiling

    def _other_costs(self, demand: Demand, candidate: Candidate) -> float:
        return (
            self.weights.zone_work * self._lost_room(demand, candidate)
            + _SUSPICION_COST * candidate.failed_starts
        )

    def _weight(self, is_service: bool) -> float:
        if is_service:
            return self.weights.tail_latency
        return self.weights.batch_throughput

    def _lost_room(self, demand: Demand, candidate: Candidate) -> float:
        """Returns how unevenly the task leaves processors and memory free.

        A worker with only one of the two left is lost to most tasks.
        """
        left = candidate.free - demand.resources
        cpu = left.cpu_millicores / max(candidate.capacity.cpu_millicores, 1)
        memory = left.memory_bytes / max(candidate.capacity.memory_bytes, 1)
        cost = abs(cpu - memory) / 10
        if candidate.free.accelerators and not demand.resources.accelerators:
            cost += _ACCELERATOR_COST
        return cost
