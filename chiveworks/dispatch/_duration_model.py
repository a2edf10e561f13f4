"""Learns how long the tasks of a queue really take."""

import math
from datetime import timedelta
from typing import Final

from chiveworks.dispatch._linear_fit import LinearFit
from chiveworks.workflow import StepDuration, StepSpec

#: Variances of the logarithms that are known before the first sample: of the common
#: factor, of the exponent of the declared duration, and of that of the number of tasks.
PRIOR_VARIANCES: Final = (1.0, 0.5, 0.1)
#: Variance of the logarithm of a duration around its prediction.
NOISE_VARIANCE: Final = 0.25
#: Predictions stay within this factor of the declared duration.
MAX_FACTOR: Final = 8.0
_SECOND: Final = timedelta(seconds=1)
_NO_TIME: Final = timedelta()


class DurationModel:
    """Predicts the typical and the longest duration of a step's tasks.

    The load pattern that this answers: declared durations that are wrong by a factor of
    two or more, while more work is offered than the workers can do. Whether a job can
    still end in time is then decided by an error, and jobs are put back that could.

    The logarithms of the durations are linear in those of the declared duration and of
    the number of tasks, for each queue. Without samples the prediction is the declared
    duration. The longest of many tasks takes a multiple of the typical one, which the
    declared duration doesn't say.

    Attributes:
        typical_: Fits of the mean duration, by queue.
        longest_: Fits of the longest duration, by queue.
    """

    def __init__(self) -> None:
        self.typical_: dict[str, LinearFit] = {}
        self.longest_: dict[str, LinearFit] = {}

    def partial_fit(
        self, queue: str, step: StepSpec, observed: StepDuration
    ) -> 'DurationModel':
        """Learns from a step all of whose tasks are done."""
        if step.estimate <= _NO_TIME or observed.typical <= _NO_TIME:
            return self
        features = _features(step)
        for fits, duration in (
            (self.typical_, observed.typical),
            (self.longest_, observed.longest),
        ):
            fit = fits.setdefault(queue, LinearFit(PRIOR_VARIANCES, NOISE_VARIANCE))
            fit.partial_fit(features, math.log(duration / step.estimate))
        return self

    def predict(self, queue: str, step: StepSpec) -> StepDuration:
        """Returns the expected durations of the tasks of a step."""
        if step.long_running or step.estimate <= _NO_TIME:
            return StepDuration(step.estimate, step.estimate)
        typical = _predict(self.typical_.get(queue), step)
        return StepDuration(
            typical, max(_predict(self.longest_.get(queue), step), typical)
        )


def _predict(fit: LinearFit | None, step: StepSpec) -> timedelta:
    if fit is None:
        return step.estimate
    factor = math.exp(fit.predict(_features(step)))
    return step.estimate * min(max(factor, 1 / MAX_FACTOR), MAX_FACTOR)


def _features(step: StepSpec) -> tuple[float, float, float]:
    return 1.0, math.log(step.estimate / _SECOND), math.log(step.count)
