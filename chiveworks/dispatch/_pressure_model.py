"""Learns by how much filling tasks disturb serving ones, by pairs of images."""

from collections.abc import Mapping
from datetime import timedelta
from typing import Final

#: Headroom lost by a serving task when a filling task of an unknown image takes a
#: whole worker. Headroom is the latency target over the tail latency.
PRIOR_WEIGHT: Final = 1.2
#: Strength of the prior, in sums of squared shares: about 50 reports of a task
#: that takes a tenth of the worker.
PRIOR_STRENGTH: Final = 0.5
#: Share of what was learned that is kept after a second; the amounts change.
KEPT_PER_SECOND: Final = 0.97
#: Headroom of a serving task of an unknown image that nothing disturbs.
PRIOR_BASE: Final = 2.5
_SECOND: Final = timedelta(seconds=1)


class _Sums:
    """Sums for the regression of one serving image."""

    def __init__(self) -> None:
        self.count = 1.0
        self.target = PRIOR_BASE
        self.first: dict[str, float] = {}
        self.cross: dict[tuple[str, str], float] = {}
        self.product: dict[str, float] = {}

    def add(self, loads: Mapping[str, float], headroom: float) -> None:
        self.count += 1
        self.target += headroom
        items = list(loads.items())
        for at, (image, share) in enumerate(items):
            self.first[image] = self.first.get(image, 0) + share
            self.product[image] = self.product.get(image, 0) + share * headroom
            for other, other_share in items[at:]:
                key = (image, other) if image <= other else (other, image)
                self.cross[key] = self.cross.get(key, 0) + share * other_share

    def decay(self, factor: float) -> None:
        self.count *= factor
        self.target *= factor
        for sums in (self.first, self.product):
            for image in sums:
                sums[image] *= factor
        for pair in self.cross:
            self.cross[pair] *= factor


class PressureModel:
    """Linear model of the headroom of serving tasks.

    For a serving image the headroom is `base_` less the sum over filling images of
    `weights_` times the share of the worker that tasks of that image use. The fit
    is a least-squares fit with a prior, and forgets slowly.

    Attributes:
        base_: Headroom without filling tasks, by serving image.
        weights_: Headroom lost for a whole worker, by serving and filling image.
    """

    def __init__(self) -> None:
        self.base_: dict[str, float] = {}
        self.weights_: dict[str, dict[str, float]] = {}
        self._sums: dict[str, _Sums] = {}
        self._fitted_at = timedelta()

    def partial_fit(
        self, serving: str, loads: Mapping[str, float], headroom: float
    ) -> None:
        """Takes one report of a serving task.

        Args:
            serving: Image of the serving task.
            loads: Share of the worker used by filling tasks, by image.
            headroom: Latency target over the reported tail latency.
        """
        self._sums.setdefault(serving, _Sums()).add(loads, headroom)

    def refresh(self, now: timedelta) -> bool:
        """Fits anew at most once a second; tells whether it did."""
        elapsed = (now - self._fitted_at) / _SECOND
        if elapsed < 1:
            return False
        self._fitted_at = now
        factor = KEPT_PER_SECOND ** min(elapsed, 60)
        for serving, sums in self._sums.items():
            sums.decay(factor)
            self._fit(serving, sums)
        return True

    def weight(self, serving: str, filling: str) -> float:
        """Returns the headroom lost when `filling` takes a whole worker."""
        return self.weights_.get(serving, {}).get(filling, PRIOR_WEIGHT)

    def _fit(self, serving: str, sums: _Sums) -> None:
        images = sorted(sums.first)
        mean = sums.target / sums.count
        rows = []
        for image in images:
            row = [
                _cross(sums, image, other)
                - sums.first[image] * sums.first[other] / sums.count
                for other in images
            ]
            # A higher share means a lower headroom, hence the sign.
            row.append(sums.first[image] * mean - sums.product[image])
            rows.append(row)
        for at, row in enumerate(rows):
            row[at] += PRIOR_STRENGTH
            row[-1] += PRIOR_STRENGTH * PRIOR_WEIGHT
        solved = _solve(rows)
        weights = {
            image: max(weight, 0.0) for image, weight in zip(images, solved, strict=True)
        }
        lost = sum(weights[image] * sums.first[image] for image in images)
        self.weights_[serving] = weights
        self.base_[serving] = mean + lost / sums.count


def _cross(sums: _Sums, image: str, other: str) -> float:
    key = (image, other) if image <= other else (other, image)
    return sums.cross.get(key, 0.0)


def _solve(rows: list[list[float]]) -> list[float]:
    """Solves a positive definite system by elimination; rows end in the right side."""
    size = len(rows)
    for pivot in range(size):
        pivot_row = rows[pivot]
        for row in rows[pivot + 1 :]:
            factor = row[pivot] / pivot_row[pivot]
            if factor:
                for column in range(pivot, size + 1):
                    row[column] -= factor * pivot_row[column]
    solution = [0.0] * size
    for pivot in reversed(range(size)):
        row = rows[pivot]
        known = sum(row[at] * solution[at] for at in range(pivot + 1, size))
        solution[pivot] = (row[size] - known) / row[pivot]
    return solution
