"""Learned state of a slowdown estimator."""

import math
from collections.abc import Mapping
from datetime import timedelta

import numpy as np
from numpy.typing import NDArray

#: Estimates are kept for half and full load; between them, and down to 0 at no load,
#: they are interpolated linearly.
LEVELS = 2
_HALF_LOAD = 0.5


class SlowdownState:
    """Exponentially decayed sums of a linear regression for each kind.

    Rows are the kinds that are slowed down, pairs of columns (half and full load) the
    kinds next to them. Kinds beyond `max_kinds` share the row of the last kind, which
    bounds the memory.

    Attributes:
        max_kinds: Maximum number of rows.
        row_by_kind: Row of each kind that has its own.
        moments: Weighted sums of the outer products of the features, for each row.
        targets: Weighted sums of the features times the excess slowdown, for each row.
        decayed_at: Monotonic time of the last call of `decay`.
    """

    def __init__(self, max_kinds: int) -> None:
        self.max_kinds = max_kinds
        self.row_by_kind: dict[str, int] = {}
        self.moments: NDArray[np.float64] = np.zeros((0, 0, 0))
        self.targets: NDArray[np.float64] = np.zeros((0, 0))
        self.decayed_at: timedelta | None = None

    @property
    def rows(self) -> int:
        """Returns the number of rows."""
        return len(self.targets)

    def row(self, kind: str) -> int:
        """Returns the row of a kind, or -1 if it has none yet."""
        is_full = len(self.row_by_kind) >= self.max_kinds
        return self.row_by_kind.get(kind, self.max_kinds - 1 if is_full else -1)

    def decay(self, now: timedelta, half_life: timedelta) -> None:
        """Decays the weight of all samples by the time since the last call."""
        if self.decayed_at is not None:
            decay_factor = math.pow(0.5, (now - self.decayed_at) / half_life)
            self.moments *= decay_factor
            self.targets *= decay_factor
        self.decayed_at = now

    def add(
        self,
        kind: str,
        others: Mapping[str, int],
        load: float,
        excess: float,
        weight: float,
    ) -> None:
        """Adds one weighted sample."""
        row = self._ensure_row(kind)
        columns = {self._ensure_row(other): count for other, count in others.items()}
        features = np.zeros(self.rows * LEVELS)
        half, full = level_shares(load)
        for column, count in columns.items():
            features[column * LEVELS] += count * half
            features[column * LEVELS + 1] += count * full
        self.moments[row] += weight * np.outer(features, features)
        self.targets[row] += weight * excess * features

    def _ensure_row(self, kind: str) -> int:
        row = self.row(kind)
        if row >= 0:
            return row
        self.row_by_kind[kind] = self.rows
        level_padding = (0, LEVELS)
        self.moments = np.pad(self.moments, ((0, 1), level_padding, level_padding))
        self.targets = np.pad(self.targets, ((0, 1), level_padding))
        return self.row_by_kind[kind]


def level_shares(load: float) -> tuple[float, float]:
    """Returns the interpolation weights of the estimates at half and full load."""
    if load <= _HALF_LOAD:
        return max(load, 0) / _HALF_LOAD, 0
    full = min((load - _HALF_LOAD) / (1 - _HALF_LOAD), 1)
    return 1 - full, full
