"""Learns by how much filling tasks disturb serving ones, by pairs of images."""

import math
from collections.abc import Collection, Mapping, Sequence
from datetime import timedelta
from typing import Final, NamedTuple

import msgpack

from chiveworks.base import JobId
from chiveworks.dispatch._base_headroom import BaseHeadroom
from chiveworks.dispatch._interference_weight import (
    FIRST_VARIANCE,
    FIRST_WEIGHT,
    InterferenceWeight,
)
from chiveworks.workflow import TaskRef

#: Headroom above which differences say nothing.
HEADROOM_LIMIT: Final = 4.5
#: Headroom below which the tail latency no longer follows the load: a report can
#: then only show that too little was expected to be lost.
SATURATED: Final = 0.4
#: Standard deviation of a report: a part of its size, and the rounding to whole
#: milliseconds. Recorded reports scatter by 8 to 10%.
NOISE_SHARE: Final = 0.1
NOISE_LEAST: Final = 0.06
#: Greatest residual that is believed, in standard deviations: a worker that turns
#: slow shows latencies that no filling task has caused.
RESIDUAL_LIMIT: Final = 3.0
#: Standard deviations by which a weight that is not well known is taken higher.
CAUTION: Final = 1.0
#: Variance below which a level counts as known.
KNOWN_VARIANCE: Final = 0.02
#: Weight from which a filling image counts as harmful: between the two groups of
#: pairs that recorded reports show.
HARMFUL_WEIGHT: Final = 3.0
#: Variance below which a weight counts as known.
KNOWN_WEIGHT_VARIANCE: Final = 2.0
#: Part of the pairs that is harmless in recorded reports.
HARMLESS_PART: Final = 0.6
#: Time without a report after which a step's headroom is forgotten.
STALE: Final = timedelta(seconds=30)
#: How often beliefs are aged.
AGING_GAP: Final = timedelta(seconds=1)
#: Share of the way by which a floor follows a level below it, and one above it.
FLOOR_FALL: Final = 0.2
FLOOR_RISE: Final = 0.0005
#: Least and first floor; tasks that are near their target all the time leave no
#: room for filling ones anyway.
LEAST_FLOOR: Final = 1.0
FIRST_FLOOR: Final = 1.7
_SECOND: Final = timedelta(seconds=1)


class StepKey(NamedTuple):
    """Names a step of an occurrence; its tasks have the same load."""

    job_id: JobId
    occurrence: int
    step: int


class InterferenceModel:
    """Linear model of the headroom that filling tasks take from serving ones.

    The headroom of a serving task, which is its latency target over its tail
    latency, is the headroom of its step without filling tasks, less the sum over
    filling images of their weight times the share of the worker that they use.

    Attributes:
        weights_: Beliefs about the weights, by serving and filling image.
        bases_: Headroom of serving steps without filling tasks.
        floors_: Lowest such headroom that was seen, by image.
    """

    def __init__(self) -> None:
        self.weights_: dict[str, dict[str, InterferenceWeight]] = {}
        self.bases_: dict[StepKey, BaseHeadroom] = {}
        self.floors_: dict[str, float] = {}
        self._aged_at = timedelta()

    def partial_fit(
        self,
        task: TaskRef,
        serving: str,
        loads: Mapping[str, float],
        headroom: float,
        now: timedelta,
    ) -> float:
        """Takes one report of a serving task.

        Args:
            task: The serving task.
            serving: Its image.
            loads: Share of the worker used by filling tasks, by image.
            headroom: Latency target over the reported tail latency.
            now: Time of the report.

        Returns:
            The headroom that the task has now, by all reports.
        """
        self._age(now)
        headroom = min(headroom, HEADROOM_LIMIT)
        key = _step_key(task)
        base = self.bases_.get(key)
        if base is None:
            base = self.bases_.setdefault(key, BaseHeadroom(now))
        base.advance(now)
        beliefs = [
            (self._weight_estimate(serving, image), share)
            for image, share in loads.items()
            if share > 0
        ]
        expected = base.level - _lost(beliefs)
        noise = NOISE_LEAST + NOISE_SHARE * max(expected, headroom, 0)
        spread = base.variance + noise**2
        spread += sum(each.variance * share**2 for each, share in beliefs)
        residual = _limit(headroom - expected, RESIDUAL_LIMIT * math.sqrt(spread))
        if headroom > SATURATED or residual < 0:
            base.correct(residual, spread)
            for belief, share in beliefs:
                belief.correct(share, residual, spread)
        self._note_floor(serving, base)
        return base.level - _lost(beliefs)

    def base(self, task: TaskRef, serving: str, ahead: timedelta) -> float:
        """Returns the lowest headroom expected soon without filling tasks.

        Args:
            task: The serving task.
            serving: Its image.
            ahead: How far to look.
        """
        floor = self.floor(serving)
        known = self.bases_.get(_step_key(task))
        if known is None:
            return floor
        return max(known.lowest(ahead), min(floor, known.level))

    def floor(self, serving: str) -> float:
        """Returns about the lowest headroom of an image without filling tasks."""
        return self.floors_.get(serving, FIRST_FLOOR)

    def weight(self, serving: str, filling: str) -> float:
        """Returns the headroom lost when `filling` takes a whole worker."""
        known = self.weights_.get(serving, {}).get(filling)
        return known.weight if known else FIRST_WEIGHT

    def cautious_weight(self, serving: str, filling: str) -> float:
        """Returns a weight that is unlikely to be exceeded."""
        known = self.weights_.get(serving, {}).get(filling)
        if known is None:
            return FIRST_WEIGHT + CAUTION * math.sqrt(FIRST_VARIANCE)
        return known.cautious(CAUTION)

    def openness(self, serving: Collection[str]) -> float:
        """Returns the part of the filling images that disturb none of some images.

        An image that has not been seen beside a serving one counts as a part.
        """
        fillings = {image for pairs in self.weights_.values() for image in pairs}
        if not fillings:
            return HARMLESS_PART ** len(serving)
        suitable = (
            math.prod(self._suitable_part(each, filling) for each in serving)
            for filling in fillings
        )
        return sum(suitable) / len(fillings)

    def differs(self, serving: str, other: str) -> bool:
        """Tells whether some filling image disturbs one of two serving images only."""
        if serving == other:
            return False
        beside = self.weights_.get(other, {})
        return any(
            self._is_known(pressure)
            and self._is_known(beside.get(filling))
            and (pressure.weight < HARMFUL_WEIGHT)
            is not (beside[filling].weight < HARMFUL_WEIGHT)
            for filling, pressure in self.weights_.get(serving, {}).items()
        )

    def _is_known(self, pressure: InterferenceWeight | None) -> bool:
        return pressure is not None and pressure.variance <= KNOWN_WEIGHT_VARIANCE

    def _suitable_part(self, serving: str, filling: str) -> float:
        known = self.weights_.get(serving, {}).get(filling)
        if known is None or not self._is_known(known):
            return HARMLESS_PART
        return float(known.weight < HARMFUL_WEIGHT)

    def dump(self) -> bytes:
        """Returns what was learned, for a later process."""
        packed: bytes = msgpack.packb(
            {
                'pressures': {
                    serving: {
                        filling: [round(each.weight, 2), round(each.variance, 2)]
                        for filling, each in pairs.items()
                    }
                    for serving, pairs in self.weights_.items()
                },
                'floors': {
                    image: round(floor, 2) for image, floor in self.floors_.items()
                },
            }
        )
        return packed

    def load(self, packed: bytes) -> None:
        """Takes over what an earlier process learned."""
        stored = msgpack.unpackb(packed)
        self.floors_ = dict(stored['floors'])
        self.weights_ = {
            serving: {
                filling: InterferenceWeight(*pair) for filling, pair in pairs.items()
            }
            for serving, pairs in stored['pressures'].items()
        }

    def _weight_estimate(self, serving: str, filling: str) -> InterferenceWeight:
        pairs = self.weights_.setdefault(serving, {})
        known = pairs.get(filling)
        if known is None:
            known = pairs.setdefault(filling, InterferenceWeight())
        return known

    def _note_floor(self, serving: str, base: BaseHeadroom) -> None:
        # Only a level that several reports agree on counts.
        if base.variance >= KNOWN_VARIANCE:
            return
        floor = self.floors_.get(serving, FIRST_FLOOR)
        share = FLOOR_FALL if base.level < floor else FLOOR_RISE
        moved = floor + share * (base.level - floor)
        self.floors_[serving] = max(moved, LEAST_FLOOR)

    def _age(self, now: timedelta) -> None:
        elapsed = now - self._aged_at
        if elapsed < AGING_GAP:
            return
        self._aged_at = now
        for pairs in self.weights_.values():
            for pressure in pairs.values():
                pressure.forget(min(elapsed / _SECOND, 60))
        ended = [
            key for key, base in self.bases_.items() if now - base.heard_at > STALE
        ]
        for key in ended:
            self.bases_.pop(key)


def _step_key(task: TaskRef) -> StepKey:
    return StepKey(task.job_id, task.occurrence, task.step)


def _limit(figure: float, bound: float) -> float:
    return max(min(figure, bound), -bound)


def _lost(beliefs: Sequence[tuple[InterferenceWeight, float]]) -> float:
    return sum(belief.weight * share for belief, share in beliefs)
