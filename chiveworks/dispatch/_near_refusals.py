"""Steps that were not worth a wait in a round of assignment."""

from collections import defaultdict
from datetime import timedelta
from typing import NamedTuple

from chiveworks.base import RackName, Resources
from chiveworks.workflow import StepRun


class NearKey(NamedTuple):
    """Near workers that a step asks for.

    Attributes:
        service: Service of the workers.
        rack: Their rack; empty for any single rack.
        gang: Whether all tasks need room at the same time.
    """

    service: str
    rack: RackName
    gang: bool = False


class _Refused(NamedTuple):
    demand: Resources
    duration: timedelta
    width: int


class NearRefusals:
    """Spares a round the forecasts whose result is known from an earlier step.

    During a round, near room only becomes less, and a shorter step gains less from it.
    So no wait pays off for a step with tasks that are as large, as many and as short as
    those of a step that was refused.
    """

    def __init__(self) -> None:
        self._refused: defaultdict[NearKey, list[_Refused]] = defaultdict(list)

    def clear(self) -> None:
        """Drops all steps, for a new round."""
        self._refused.clear()

    def add(self, key: NearKey, run: StepRun, count: int) -> None:
        """Adds a step, unless conditions of its own restrict its workers."""
        spec = run.spec
        restricted = spec.required_label or spec.worker_limit or run.job.queue.advised
        if not restricted:
            refused = _Refused(spec.demand, spec.estimate, count)
            self._refused[key].append(refused)

    def cover(self, key: NearKey, run: StepRun, count: int) -> bool:
        """Tells whether it is known that no wait pays off for tasks of a step."""
        spec = run.spec
        return any(
            refused.demand.fits_in(spec.demand)
            and refused.duration >= spec.estimate
            and refused.width <= count
            for refused in self._refused.get(key, ())
        )
