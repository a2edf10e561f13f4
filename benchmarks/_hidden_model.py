"""Interference hidden from the policies, for bench_decisions."""

import numpy as np
from numpy.typing import NDArray

from benchmarks._workload import UserShape

#: Summed interference saturates here; the estimators assume that it is additive.
_SATURATION = 6
_LOAD_EXPONENT = 1.5
#: Use of a service's own processors at normal traffic.
_SERVICE_USE = 0.3


class HiddenModel:
    """Slowdown by pair of kinds and load; kind 0 is the service."""

    def __init__(self, shape: UserShape, rng: np.random.Generator) -> None:
        self.kinds = [shape.service, *(spec.name for spec in shape.kinds)]
        harm = np.array([1, *(spec.harm for spec in shape.kinds)])
        size = len(self.kinds)
        # A harmful kind disturbs some kinds much and others hardly.
        self.pairs = 0.04 * rng.lognormal(0, 0.6, (size, size)) * harm
        self.pairs[:, 0] /= 2

    def slowdowns(
        self, counts: NDArray[np.float64], use: NDArray[np.float64]
    ) -> NDArray[np.float64]:
        """Returns the slowdown by worker and kind.

        Args:
            counts: Running tasks by worker and kind, weighted by their share.
            use: Demanded processors over capacity, by worker.
        """
        sums = counts @ self.pairs.T
        # A task does not disturb itself.
        sums -= np.minimum(counts, 1) * np.diag(self.pairs)
        load = np.minimum(use, 1)[:, None] ** _LOAD_EXPONENT
        excess = _SATURATION * np.tanh(sums * load / _SATURATION)
        contention = np.maximum(use, 1)[:, None]
        return np.asarray((1 + np.maximum(excess, 0)) * contention)

    def latency_factor(
        self, slowdown: NDArray[np.float64], traffic: float
    ) -> NDArray[np.float64]:
        """Returns service latency over the undisturbed one, by worker."""
        waiting = np.minimum(_SERVICE_USE * traffic * slowdown, 0.95)
        return np.asarray(slowdown * (1 - _SERVICE_USE) / (1 - waiting))
