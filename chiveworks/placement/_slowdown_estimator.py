"""Estimator of the slowdown between tasks on the same worker."""

import math
from collections.abc import Iterable, Mapping
from datetime import timedelta

import numpy as np

from chiveworks.base import Clock, check_duration, check_positive
from chiveworks.placement._bound import Bound
from chiveworks.placement._slowdown_sample import SlowdownSample
from chiveworks.placement._slowdown_state import LEVELS, SlowdownState, level_shares

_HALF_LIFE = timedelta(minutes=10)
#: Solving for 32 kinds takes milliseconds, which is too slow for every decision.
_REFRESH_INTERVAL = timedelta(seconds=5)
#: Higher measurements are reduced to this excess, since they indicate a stall rather
#: than interference.
_MAX_EXCESS = 20


class SlowdownEstimator:
    """Bayesian linear regression of the excess slowdown for each kind.

    The excess (slowdown minus 1) of a task is modelled as a sum over the other
    tasks on the worker, with a term that depends on the pair of kinds and the load.
    The prior pulls pairs with few samples towards `prior_excess`; the weight of
    samples decays exponentially with age. Method: least squares with exponential
    forgetting and a fixed prior (Haykin, "Adaptive Filter Theory").

    Args:
        clock: Source of monotonic time.
        half_life: Age at which a sample has half its weight.
        prior_excess: Expected excess of an unknown pair at full load.
        prior_weight: Weight of the prior, in samples.
        noise: Standard deviation of the excess in a sample.
        bound: Bound of the uncertainty to report.
        bound_width: Distance of the bound from the mean, in standard deviations.
        max_kinds: Maximum number of kinds with estimates; further kinds share those of
            the last one.
        refresh_interval: Maximum age of estimates before `refresh_if_due` updates
            them.
    """

    def __init__(
        self,
        clock: Clock,
        half_life: timedelta = _HALF_LIFE,
        prior_excess: float = 0.05,
        prior_weight: float = 4,
        noise: float = 0.2,
        bound: Bound = Bound.MEAN,
        bound_width: float = 1,
        max_kinds: int = 32,
        refresh_interval: timedelta = _REFRESH_INTERVAL,
    ) -> None:
        self.clock = clock
        self.half_life = half_life
        self.prior_excess = prior_excess
        self.prior_weight = prior_weight
        self.noise = noise
        self.bound = bound
        self.bound_width = bound_width
        self.max_kinds = max_kinds
        self.refresh_interval = refresh_interval
        # The trailing underscore marks learned state (design.md, section 13).
        self.state_ = SlowdownState(max_kinds)  # noqa: WPS120
        self._table: list[list[list[float]]] = []
        self._solved_at: timedelta | None = None

    def partial_fit(self, samples: Iterable[SlowdownSample]) -> 'SlowdownEstimator':
        """Learns from samples in any order, weighted by their age."""
        check_duration('half_life', self.half_life)
        check_positive('noise', self.noise)
        now = self.clock.monotonic()
        self.state_.decay(now, self.half_life)
        for sample in samples:
            age = max(now - sample.at, timedelta(0))
            self.state_.add(
                sample.kind,
                sample.others,
                sample.load,
                excess=min(max(sample.slowdown - 1, 0), _MAX_EXCESS),
                weight=math.pow(0.5, age / self.half_life),
            )
        return self

    def predict(self, kind: str, others: Mapping[str, int], load: float) -> float:
        """Returns the slowdown, at least 1, of a task of `kind` next to `others`."""
        self._solve(self.clock.monotonic())
        excess = sum(
            count * self.pair_excess(kind, other, load)
            for other, count in others.items()
        )
        return 1 + excess

    def refresh_if_due(self) -> None:
        """Updates the estimates of `pair_excess`, at most once per `refresh_interval`."""
        now = self.clock.monotonic()
        if self._solved_at is None or now - self._solved_at >= self.refresh_interval:
            self._solve(now)

    def pair_excess(self, kind: str, other: str, load: float) -> float:
        """Returns the excess slowdown, at least 0, that one `other` causes a `kind`.

        The estimate dates from the last `predict` or `refresh_if_due`.
        """
        # The last row and column hold the prior, for kinds without a row (-1) and for
        # rows that were added since the table was computed.
        last = len(self._table) - 1
        row = min(self.state_.row(kind), last)
        column = min(self.state_.row(other), last)
        at_half, at_full = self._table[row][column]
        half, full = level_shares(load)
        return at_half * half + at_full * full

    def _solve(self, now: timedelta) -> None:
        """Computes the bound for each pair from the decayed sums and the prior."""
        check_positive('prior_weight', self.prior_weight)
        state = self.state_
        state.decay(now, self.half_life)
        rows = state.rows
        prior_means = np.tile([self.prior_excess / 2, self.prior_excess], rows)
        prior = np.eye(rows * LEVELS) * self.prior_weight
        unknown = self._unknown_pair()
        table = []
        for moments, targets in zip(state.moments, state.targets, strict=True):
            inverse = np.linalg.inv(moments + prior)
            means = inverse @ (targets + self.prior_weight * prior_means)
            offset = self._bound_offset(np.sqrt(np.diag(inverse)))
            bounds = np.maximum(means + offset, 0).reshape(rows, LEVELS)
            table.append([*bounds.tolist(), unknown])
        table.append([unknown for _ in range(rows + 1)])
        self._table = table
        self._solved_at = now

    def _bound_offset(self, deviation: np.ndarray) -> np.ndarray:
        return self.bound.sign * self.bound_width * self.noise * deviation

    def _unknown_pair(self) -> list[float]:
        offset = self._bound_offset(np.full(LEVELS, math.pow(self.prior_weight, -0.5)))
        means = np.array([self.prior_excess / 2, self.prior_excess])
        return [float(bound) for bound in np.maximum(means + offset, 0)]
