"""Simulated interference, unknown to the policies, for bench_decisions."""

import numpy as np
from numpy.typing import NDArray

from benchmarks._workload import DeploymentShape

#: Excess slowdown saturates here, whereas the estimators assume it to be additive.
_SATURATION = 6
_LOAD_EXPONENT = 1.5
#: Utilization of a service's own processors at normal traffic.
_SERVICE_UTILIZATION = 0.3


class InterferenceSimulator:
    """Slowdown by pair of kinds and load; kind 0 is the service.

    Attributes:
        kinds: Names of the kinds.
        pairs: Excess slowdown of a kind (row) due to one task of a kind (column).
    """

    def __init__(self, shape: DeploymentShape, rng: np.random.Generator) -> None:
        self.kinds = [shape.service, *(spec.name for spec in shape.kinds)]
        interference = np.array([1, *(spec.interference for spec in shape.kinds)])
        size = len(self.kinds)
        # A kind that causes interference affects some kinds much and others hardly.
        self.pairs = 0.04 * rng.lognormal(0, 0.6, (size, size)) * interference
        self.pairs[:, 0] /= 2

    def slowdowns(
        self, counts: NDArray[np.float64], utilization: NDArray[np.float64]
    ) -> NDArray[np.float64]:
        """Returns the slowdown by worker and kind.

        Args:
            counts: Running tasks by worker and kind, weighted by their CPU share.
            utilization: CPU demand over CPU capacity by worker; may exceed 1.
        """
        sums = counts @ self.pairs.T
        # A task does not interfere with itself.
        sums -= np.minimum(counts, 1) * np.diag(self.pairs)
        load = np.minimum(utilization, 1)[:, None] ** _LOAD_EXPONENT
        excess = _SATURATION * np.tanh(sums * load / _SATURATION)
        contention = np.maximum(utilization, 1)[:, None]
        return np.asarray((1 + np.maximum(excess, 0)) * contention)

    def latency_factor(
        self, slowdown: NDArray[np.float64], traffic: float
    ) -> NDArray[np.float64]:
        """Returns service latency by worker, relative to an undisturbed service."""
        busy = np.minimum(_SERVICE_UTILIZATION * traffic * slowdown, 0.95)
        return np.asarray(slowdown * (1 - _SERVICE_UTILIZATION) / (1 - busy))
