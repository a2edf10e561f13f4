"""Learns by how much filling tasks disturb serving ones, by pairs of images."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

import msgpack

from chiveworks.workflow import TaskRef

#: Headroom lost by a serving task when a filling task of an unknown image takes a
#: whole worker. Headroom is the latency target over the tail latency.
PRIOR_WEIGHT: Final = 1.0
#: Strength of the prior, in sums of squared changes of shares.
PRIOR_STRENGTH: Final = 0.3
#: Share of what was learned that is kept after a second; the amounts change.
KEPT_PER_SECOND: Final = 0.98
#: Time over which a task's own mean is taken. Its load swings over many seconds,
#: so only changes that are faster are put down to filling tasks. One second gave
#: the smallest error of 0.5, 1, 2 and 4 s on recorded reports.
MEAN_TIME: Final = timedelta(seconds=1)
#: Headroom above which differences say nothing.
HEADROOM_LIMIT: Final = 4.5
_SECOND: Final = timedelta(seconds=1)


@dataclass(slots=True)
class _Mean:
    """Moving means of one serving task."""

    at: timedelta
    headroom: float
    loads: dict[str, float]


class _Sums:
    """Sums for the regression of one serving image."""

    def __init__(self) -> None:
        self.images: set[str] = set()
        self.cross: dict[tuple[str, str], float] = {}
        self.product: dict[str, float] = {}

    def add(self, changes: Mapping[str, float], headroom: float) -> None:
        """Adds one report, given as differences from the task's means."""
        items = sorted(changes.items())
        self.images.update(changes)
        for at, (image, change) in enumerate(items):
            self.product[image] = self.product.get(image, 0) - change * headroom
            for other, other_change in items[at:]:
                key = (image, other)
                self.cross[key] = self.cross.get(key, 0) + change * other_change

    def decay(self, factor: float) -> None:
        """Forgets a part of what was added."""
        for image in self.product:
            self.product[image] *= factor
        for pair in self.cross:
            self.cross[pair] *= factor

    def fit(self, priors: Mapping[str, float]) -> dict[str, float]:
        """Returns the weight of each filling image."""
        images = sorted(self.images)
        rows = []
        for image in images:
            row = [
                self.cross.get((min(image, other), max(image, other)), 0.0)
                for other in images
            ]
            prior = priors.get(image, PRIOR_WEIGHT)
            row.append(self.product[image] + PRIOR_STRENGTH * prior)
            rows.append(row)
        for at, row in enumerate(rows):
            row[at] += PRIOR_STRENGTH
        solved = _solve(rows)
        return {
            image: max(weight, 0.0)
            for image, weight in zip(images, solved, strict=True)
        }


class PressureModel:
    """Linear model of the headroom that filling tasks take from serving ones.

    For a serving image the headroom falls by the sum over filling images of
    `weights_` times the share of the worker that tasks of that image use. The fit
    is a least-squares fit of short-term changes with a prior, and forgets slowly.

    Attributes:
        weights_: Headroom lost for a whole worker, by serving and filling image.
    """

    def __init__(self) -> None:
        self.weights_: dict[str, dict[str, float]] = {}
        self._priors: dict[str, dict[str, float]] = {}
        self._sums: dict[str, _Sums] = {}
        self._means: dict[TaskRef, _Mean] = {}
        self._fitted_at = timedelta()

    def partial_fit(
        self,
        task: TaskRef,
        serving: str,
        loads: Mapping[str, float],
        headroom: float,
        now: timedelta,
    ) -> None:
        """Takes one report of a serving task.

        Args:
            task: The serving task.
            serving: Its image.
            loads: Share of the worker used by filling tasks, by image.
            headroom: Latency target over the reported tail latency.
            now: Time of the report.
        """
        headroom = min(headroom, HEADROOM_LIMIT)
        mean = self._means.get(task)
        if mean is None:
            self._means[task] = _Mean(now, headroom, dict(loads))
            return
        changes = {
            image: loads.get(image, 0.0) - mean.loads.get(image, 0.0)
            for image in {*loads, *mean.loads}
        }
        difference = headroom - mean.headroom
        self._sums.setdefault(serving, _Sums()).add(changes, difference)
        share = 1 - math.exp(-((now - mean.at) / MEAN_TIME))
        mean.at = now
        mean.headroom += share * difference
        for image, change in changes.items():
            mean.loads[image] = mean.loads.get(image, 0.0) + share * change

    def refresh(self, now: timedelta) -> bool:
        """Fits anew at most once a second; tells whether it did."""
        elapsed = (now - self._fitted_at) / _SECOND
        if elapsed < 1:
            return False
        self._fitted_at = now
        factor = KEPT_PER_SECOND ** min(elapsed, 60)
        for serving, sums in self._sums.items():
            sums.decay(factor)
            priors = self._priors.get(serving, {})
            self.weights_[serving] = {**priors, **sums.fit(priors)}
        return True

    def dump(self) -> bytes:
        """Returns what was learned, for a later process."""
        packed: bytes = msgpack.packb(self.weights_)
        return packed

    def load(self, packed: bytes) -> None:
        """Takes what an earlier process learned as the prior."""
        self._priors = msgpack.unpackb(packed)
        self.weights_ = {name: dict(pairs) for name, pairs in self._priors.items()}

    def forget(self, task: TaskRef) -> None:
        """Drops the means of a task that has ended."""
        self._means.pop(task, None)

    def weight(self, serving: str, filling: str) -> float:
        """Returns the headroom lost when `filling` takes a whole worker."""
        return self.weights_.get(serving, {}).get(filling, PRIOR_WEIGHT)


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
