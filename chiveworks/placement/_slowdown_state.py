"""What a slowdown estimator has learned."""

import math
from collections.abc import Mapping
from datetime import timedelta

import numpy as np
from numpy.typing import NDArray

#: Estimates are kept at half and at full load; excess is linear in between.
LEVELS = 2
_HALF_LOAD = 0.5


class SlowdownState:
    """Faded sums of a linear regression for each kind.

    Rows stand for the slowed kinds, pairs of columns (half and full load) for
    the kinds beside them. Kinds beyond `max_kinds` share the last row, so that
    memory stays bounded.
    """

    def __init__(self, max_kinds: int) -> None:
        self.max_kinds = max_kinds
        self.numbers: dict[str, int] = {}
        self.moments: NDArray[np.float64] = np.zeros((0, 0, 0))
        self.targets: NDArray[np.float64] = np.zeros((0, 0))
        self.faded_at: timedelta | None = None

    @property
    def rows(self) -> int:
        """Returns the number of rows."""
        return len(self.targets)

    def row(self, kind: str) -> int:
        """Returns the row of a kind, -1 when nothing is known of it."""
        is_full = len(self.numbers) >= self.max_kinds
        return self.numbers.get(kind, self.max_kinds - 1 if is_full else -1)

    def fade(self, now: timedelta, half_life: timedelta) -> None:
        """Reduces the weight of all samples by the time since the last call."""
        if self.faded_at is not None:
            kept = math.pow(0.5, (now - self.faded_at) / half_life)
            self.moments *= kept
            self.targets *= kept
        self.faded_at = now

    def add(
        self,
        kind: str,
        others: Mapping[str, int],
        load: float,
        excess: float,
        weight: float,
    ) -> None:
        """Adds one weighted sample."""
        row = self._make_row(kind)
        columns = {self._make_row(other): count for other, count in others.items()}
        features = np.zeros(self.rows * LEVELS)
        half, full = level_shares(load)
        for number, count in columns.items():
            features[number * LEVELS] += count * half
            features[number * LEVELS + 1] += count * full
        self.moments[row] += weight * np.outer(features, features)
        self.targets[row] += weight * excess * features

    def _make_row(self, kind: str) -> int:
        row = self.row(kind)
        if row >= 0:
            return row
        self.numbers[kind] = self.rows
        grown = (0, LEVELS)
        self.moments = np.pad(self.moments, ((0, 1), grown, grown))
        self.targets = np.pad(self.targets, ((0, 1), grown))
        return self.numbers[kind]


def level_shares(load: float) -> tuple[float, float]:
    """Returns the shares of the estimates at half and at full load."""
    if load <= _HALF_LOAD:
        return max(load, 0) / _HALF_LOAD, 0
    full = min((load - _HALF_LOAD) / (1 - _HALF_LOAD), 1)
    return 1 - full, full
