"""Foresees what a filling task would take from the serving tasks of a worker."""

from typing import Final

from chiveworks.base import WorkerId
from chiveworks.dispatch._interference_model import InterferenceModel
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import StepSpec

#: Headroom that placement leaves to a serving task while a filling task runs.
KEPT_HEADROOM: Final = 1.15


class InterferenceForecast:
    """Applies what was learned to what serves and fills on a worker.

    Args:
        model: What is known of interference.
    """

    def __init__(self, model: InterferenceModel) -> None:
        self._model = model
        self._left: dict[WorkerId, tuple[int, dict[str, float]]] = {}

    def effect(self, worker: WorkerView, spec: StepSpec) -> tuple[float, float]:
        """Returns what a filling task would take from serving ones.

        Returns:
            By how much a serving task would lose too much headroom, and the greatest
            headroom that the filling task alone would take.
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
        """Returns what the serving images can spare beside the filling tasks."""
        known = self._left.get(worker.worker_id)
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
        self._left[worker.worker_id] = (worker.version, left)
        return left

    def _weight(self, serving: str, filling: str) -> float:
        return self._model.upper_weight(serving, filling)
