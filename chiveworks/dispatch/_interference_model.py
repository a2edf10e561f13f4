"""Learns how much filling tasks disturb serving tasks, per pair of images.

Serving tasks have a latency target. Filling tasks are batch tasks that only use the
processor time that other tasks leave idle.
"""

import math
from collections.abc import Collection, Mapping, Sequence
from datetime import timedelta
from typing import Final, NamedTuple

import msgpack

from chiveworks.base import JobId
from chiveworks.dispatch._baseline_headroom import BaselineHeadroom
from chiveworks.dispatch._interference_record import decode_model
from chiveworks.dispatch._interference_weight import (
    INITIAL_VARIANCE,
    INITIAL_WEIGHT,
    InterferenceWeight,
)
from chiveworks.workflow import TaskRef

#: Headroom is capped at this value; differences above it carry no information.
MAX_HEADROOM: Final = 4.5
#: Headroom below which the tail latency is no longer proportional to the load. Such
#: a report can only show that the expected loss was too small.
SATURATED_HEADROOM: Final = 0.4
#: Standard deviation of a report: a share of its value, plus the rounding to whole
#: milliseconds. Recorded reports scatter by 8 to 10%.
NOISE_SHARE: Final = 0.1
MIN_NOISE: Final = 0.06
#: Residuals are clipped to this many standard deviations: a worker that becomes slow
#: reports latencies that no filling task has caused.
RESIDUAL_LIMIT: Final = 3.0
#: Standard deviations that are added to a weight for a cautious upper estimate.
CAUTION_DEVIATIONS: Final = 1.0
#: Variance below which the level of a baseline counts as known.
KNOWN_LEVEL_VARIANCE: Final = 0.02
#: Weight from which a filling image counts as harmful. It lies between the two
#: groups of image pairs in recorded reports.
HARMFUL_WEIGHT: Final = 3.0
#: Variance below which a weight counts as known.
KNOWN_WEIGHT_VARIANCE: Final = 2.0
#: Share of the image pairs that are harmless in recorded reports.
HARMLESS_SHARE: Final = 0.6
#: Time without a report after which the baseline of a step is dropped.
BASELINE_EXPIRY: Final = timedelta(seconds=30)
#: Interval at which the weight estimates are aged.
AGING_INTERVAL: Final = timedelta(seconds=1)
#: Smoothing factors by which a floor follows a lower level and a higher level.
FLOOR_FALL: Final = 0.2
FLOOR_RISE: Final = 0.0005
#: Minimum and initial floor. Tasks that are always near their target leave no
#: headroom for filling tasks anyway.
MIN_FLOOR: Final = 1.0
INITIAL_FLOOR: Final = 1.7
_SECOND: Final = timedelta(seconds=1)


class StepKey(NamedTuple):
    """Key of a step of an occurrence; all of its tasks have the same load."""

    job_id: JobId
    occurrence: int
    step: int


class InterferenceModel:
    """Linear model of the headroom that filling tasks take from serving tasks.

    The headroom of a serving task is its latency target divided by its tail latency.
    It is modelled as the headroom of its step without filling tasks (the baseline)
    minus the sum over filling images of their weight times the share of the worker's
    processors that they use.

    Attributes:
        weights_: Estimates of the weights, by serving and filling image.
        baselines_: Headroom of serving steps without filling tasks.
        floors_: Approximate lowest baseline, by serving image.
    """

    def __init__(self) -> None:
        self.weights_: dict[str, dict[str, InterferenceWeight]] = {}
        self.baselines_: dict[StepKey, BaselineHeadroom] = {}
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
        """Updates the model with one report of a serving task.

        Args:
            task: The serving task.
            serving: Its image.
            loads: Share of the worker's processors used by filling tasks, by image.
            headroom: Latency target divided by the reported tail latency.
            now: Time of the report.

        Returns:
            The headroom of the task, as estimated from all reports.
        """
        self._age_weights(now)
        headroom = min(headroom, MAX_HEADROOM)
        key = _step_key(task)
        base = self.baselines_.get(key)
        if base is None:
            base = self.baselines_.setdefault(key, BaselineHeadroom(now))
        base.advance(now)
        estimates = [
            (self._weight_estimate(serving, image), share)
            for image, share in loads.items()
            if share > 0
        ]
        expected = base.level - _lost(estimates)
        noise = MIN_NOISE + NOISE_SHARE * max(expected, headroom, 0)
        residual_variance = base.variance + noise**2
        residual_variance += sum(each.variance * share**2 for each, share in estimates)
        residual = _clamp(
            headroom - expected, RESIDUAL_LIMIT * math.sqrt(residual_variance)
        )
        if headroom > SATURATED_HEADROOM or residual < 0:
            base.correct(residual, residual_variance)
            for estimate, share in estimates:
                estimate.correct(share, residual, residual_variance)
        self._update_floor(serving, base)
        return base.level - _lost(estimates)

    def baseline(self, task: TaskRef, serving: str, ahead: timedelta) -> float:
        """Returns the lowest headroom expected within a time, without filling tasks.

        Args:
            task: The serving task.
            serving: Its image.
            ahead: Length of the forecast.
        """
        floor = self.floor(serving)
        known = self.baselines_.get(_step_key(task))
        if known is None:
            return floor
        return max(known.lowest(ahead), min(floor, known.level))

    def floor(self, serving: str) -> float:
        """Returns the approximate lowest headroom of an image without filling tasks."""
        return self.floors_.get(serving, INITIAL_FLOOR)

    def weight(self, serving: str, filling: str) -> float:
        """Returns the headroom lost when `filling` uses a whole worker."""
        known = self.weights_.get(serving, {}).get(filling)
        return known.weight if known else INITIAL_WEIGHT

    def upper_weight(self, serving: str, filling: str) -> float:
        """Returns a weight that is unlikely to be exceeded."""
        known = self.weights_.get(serving, {}).get(filling)
        if known is None:
            return INITIAL_WEIGHT + CAUTION_DEVIATIONS * math.sqrt(INITIAL_VARIANCE)
        return known.upper_bound(CAUTION_DEVIATIONS)

    def compatible_share(self, serving: Collection[str]) -> float:
        """Returns the share of filling images that disturb none of the serving images.

        A pair whose weight is not yet known counts with `HARMLESS_SHARE`.
        """
        fillings = {image for pairs in self.weights_.values() for image in pairs}
        if not fillings:
            return HARMLESS_SHARE ** len(serving)
        suitable = (
            math.prod(self._compatible_probability(each, filling) for each in serving)
            for filling in fillings
        )
        return sum(suitable) / len(fillings)

    def differs(self, serving: str, other: str) -> bool:
        """Tells whether a filling image disturbs exactly one of two serving images."""
        if serving == other:
            return False
        other_weights = self.weights_.get(other, {})
        return any(
            self._is_known(weight_estimate)
            and self._is_known(other_weights.get(filling))
            and (weight_estimate.weight < HARMFUL_WEIGHT)
            is not (other_weights[filling].weight < HARMFUL_WEIGHT)
            for filling, weight_estimate in self.weights_.get(serving, {}).items()
        )

    def _is_known(self, weight_estimate: InterferenceWeight | None) -> bool:
        return (
            weight_estimate is not None
            and weight_estimate.variance <= KNOWN_WEIGHT_VARIANCE
        )

    def _compatible_probability(self, serving: str, filling: str) -> float:
        known = self.weights_.get(serving, {}).get(filling)
        if known is None or not self._is_known(known):
            return HARMLESS_SHARE
        return float(known.weight < HARMFUL_WEIGHT)

    def dump(self) -> bytes:
        """Serializes the weights and floors for a later process."""
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
        """Restores the weights and floors that an earlier process stored.

        Raises:
            ValueError: The record cannot be read. The model is unchanged then.
        """
        weights, floors = decode_model(packed)
        self.weights_ = weights
        self.floors_ = floors

    def _weight_estimate(self, serving: str, filling: str) -> InterferenceWeight:
        pairs = self.weights_.setdefault(serving, {})
        known = pairs.get(filling)
        if known is None:
            known = pairs.setdefault(filling, InterferenceWeight())
        return known

    def _update_floor(self, serving: str, base: BaselineHeadroom) -> None:
        # A level counts only once several reports agree on it.
        if base.variance >= KNOWN_LEVEL_VARIANCE:
            return
        floor = self.floors_.get(serving, INITIAL_FLOOR)
        share = FLOOR_FALL if base.level < floor else FLOOR_RISE
        moved = floor + share * (base.level - floor)
        self.floors_[serving] = max(moved, MIN_FLOOR)

    def _age_weights(self, now: timedelta) -> None:
        """Ages the weights and drops baselines that get no reports any more."""
        elapsed = now - self._aged_at
        if elapsed < AGING_INTERVAL:
            return
        self._aged_at = now
        for pairs in self.weights_.values():
            for weight_estimate in pairs.values():
                weight_estimate.age(min(elapsed / _SECOND, 60))
        ended = [
            key
            for key, base in self.baselines_.items()
            if now - base.heard_at > BASELINE_EXPIRY
        ]
        for key in ended:
            self.baselines_.pop(key)


def _step_key(task: TaskRef) -> StepKey:
    return StepKey(task.job_id, task.occurrence, task.step)


def _clamp(figure: float, bound: float) -> float:
    return max(min(figure, bound), -bound)


def _lost(estimates: Sequence[tuple[InterferenceWeight, float]]) -> float:
    return sum(estimate.weight * share for estimate, share in estimates)
