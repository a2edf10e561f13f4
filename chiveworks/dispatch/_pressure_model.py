"""Learns by how much filling tasks disturb serving ones, by pairs of images."""

import math
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Final

import msgpack

from chiveworks.dispatch._linear_system import solve_linear
from chiveworks.workflow import TaskRef

#: Headroom lost by a serving task when a filling task of an unknown image takes a
#: whole worker. Headroom is the latency target over the tail latency.
PRIOR_WEIGHT: Final = 1.0
#: Weight of a pair of which too little is known: it lets few tasks of an unknown
#: image start on a worker at a time.
CAUTIOUS_WEIGHT: Final = 2.0
#: Sum of squared changes of shares from which a pair is known.
EVIDENCE: Final = 0.04
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
        self.product: defaultdict[str, float] = defaultdict(float)
        self.cross: defaultdict[tuple[str, str], float] = defaultdict(float)

    def add(self, changes: Mapping[str, float], headroom: float) -> None:
        """Adds one report, given as differences from the task's means."""
        for image, change in changes.items():
            self.product[image] -= change * headroom
            for other, other_change in changes.items():
                self.cross[image, other] += change * other_change

    def decay(self, factor: float) -> None:
        """Forgets a part of what was added."""
        for image in self.product:
            self.product[image] *= factor
        for pair in self.cross:
            self.cross[pair] *= factor

    def fit(self, priors: Mapping[str, float]) -> dict[str, float]:
        """Returns the weight of each filling image."""
        images = sorted(
            image for image in self.product if self.cross[image, image] > EVIDENCE
        )
        rows = [self._row(image, images, priors) for image in images]
        solved = solve_linear(rows)
        return {
            image: max(weight, 0) for image, weight in zip(images, solved, strict=True)
        }

    def _row(
        self, image: str, images: list[str], priors: Mapping[str, float]
    ) -> list[float]:
        row = [self.cross[image, other] for other in images]
        row[images.index(image)] += PRIOR_STRENGTH
        prior = priors.get(image, PRIOR_WEIGHT)
        return [*row, self.product[image] + PRIOR_STRENGTH * prior]


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
            image: loads.get(image, 0) - mean.loads.get(image, 0)
            for image in loads.keys() | mean.loads.keys()
        }
        difference = headroom - mean.headroom
        self._sums.setdefault(serving, _Sums()).add(changes, difference)
        share = 1 - math.exp(-((now - mean.at) / MEAN_TIME))
        mean.at = now
        mean.headroom += share * difference
        for image, change in changes.items():
            mean.loads[image] = mean.loads.get(image, 0) + share * change

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
        return self.weights_.get(serving, {}).get(filling, CAUTIOUS_WEIGHT)
