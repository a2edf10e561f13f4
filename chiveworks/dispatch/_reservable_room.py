"""Room that workers can be reserved for."""

from collections.abc import Iterable

from chiveworks.base import Resources
from chiveworks.dispatch._worker_view import WorkerView


class ReservableRoom:
    """Room that workers have beside their lasting tasks, once the other ones have ended.

    Workers with reservations have none.

    Args:
        workers: Workers that accept tasks.
    """

    def __init__(self, workers: Iterable[WorkerView]) -> None:
        self._room = {
            worker: worker.info.capacity - _lasting_demand(worker)
            for worker in workers
            if not worker.reservations
        }
        self._by_room = sorted(
            self._room, key=lambda worker: self._room[worker].cpu_millicores
        )

    def may_suffice(self, demand: Resources) -> bool:
        """Tells whether the processors of any worker suffice for a demand."""
        while self._by_room and self._by_room[-1].reservations:
            self._by_room.pop()
        if not self._by_room:
            return False
        return demand.cpu_millicores <= self._room[self._by_room[-1]].cpu_millicores

    def suffices(self, worker: WorkerView, demand: Resources) -> bool:
        """Tells whether the room on a worker suffices for a demand."""
        room = self._room.get(worker)
        return room is not None and not worker.reservations and demand.fits_in(room)


def _lasting_demand(worker: WorkerView) -> Resources:
    total = Resources()
    for task in worker.tasks.values():
        if task.spec.long_running:
            total += task.spec.demand
    return total
