"""Observed durations of runs against the expected ones, by worker."""

from typing import Final

from chiveworks.base import WorkerId

#: Weight of a new observation. Declared durations are off by a factor of two either
#: way, so that a single run says little about its worker.
WEIGHT: Final = 0.2
#: Limits of an observation, beyond which a declared duration is likely wrong by more
#: than usual.
LOWEST: Final = 0.5
HIGHEST: Final = 4.0


class LatenessMeter:
    """Moving average of the duration of runs as a multiple of the expected one."""

    def __init__(self) -> None:
        self._lateness: dict[WorkerId, float] = {}

    def record(self, worker_id: WorkerId, ratio: float) -> None:
        """Records a run that took `ratio` times as long as expected."""
        observed = min(max(ratio, LOWEST), HIGHEST)
        before = self.of(worker_id)
        self._lateness[worker_id] = before + WEIGHT * (observed - before)

    def of(self, worker_id: WorkerId) -> float:
        """Returns the lateness of a worker; 1 if it is not known."""
        return self._lateness.get(worker_id, 1.0)
