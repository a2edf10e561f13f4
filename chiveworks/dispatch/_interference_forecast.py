"""Forecasts the headroom that a filling task would take from serving tasks."""

from typing import Final

from chiveworks.base import WorkerId
from chiveworks.dispatch._interference_model import InterferenceModel
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import StepSpec

#: Headroom that placement keeps for a serving task while filling tasks run.
KEPT_HEADROOM: Final = 1.15


class InterferenceForecast:
    """Applies the interference model to the tasks on a worker.

    Args:
        model: Interference model.
    """

    def __init__(self, model: InterferenceModel) -> None:
        self._model = model
        self._spare_cache: dict[WorkerId, tuple[int, dict[str, float]]] = {}

    def effect(self, worker: WorkerView, spec: StepSpec) -> tuple[float, float]:
        """Forecasts the effect of a filling task on the serving tasks of a worker.

        Returns:
            The largest loss of headroom beyond what a serving image can spare, and
            the largest headroom that the filling task itself would take; both are at
            least 0.
        """
        share = spec.demand.cpu_millicores / (worker.info.capacity.cpu_millicores or 1)
        excess: float = 0
        taken: float = 0
        for serving, left in self._headroom_left(worker).items():
            loss = self._weight(serving, spec.image) * share
            taken = max(taken, loss)
            excess = max(excess, loss - left)
        return excess, taken

    def _headroom_left(self, worker: WorkerView) -> dict[str, float]:
        """Returns the spare headroom left by the present filling tasks, by image.

        The result is cached until the worker's version changes.
        """
        known = self._spare_cache.get(worker.worker_id)
        if known is not None and known[0] == worker.version:
            return known[1]
        capacity = worker.info.capacity.cpu_millicores or 1
        left = {}
        for serving in worker.allocated.serving_images:
            spare = worker.spare_headroom.get(serving)
            if spare is None:
                spare = self._model.floor(serving) - KEPT_HEADROOM
            taken = sum(
                self._weight(serving, filling) * millicores
                for filling, millicores in worker.allocated.filling_images.items()
            )
            left[serving] = spare - taken / capacity
        self._spare_cache[worker.worker_id] = (worker.version, left)
        return left

    def _weight(self, serving: str, filling: str) -> float:
        return self._model.upper_weight(serving, filling)
