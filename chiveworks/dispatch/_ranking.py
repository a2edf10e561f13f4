"""Priority queue of the workers for the tasks of a step."""

import heapq
from collections import Counter
from collections.abc import Callable, Sequence

from chiveworks.base import WorkerId
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.workflow import Task


class Ranking:
    """Orders workers by rating; each is rated once, and again after each claim.

    Args:
        workers: Workers that may be chosen.
        rate: Returns how well a worker suits any task of the step; None if it is
            unsuitable.
    """

    def __init__(
        self,
        workers: Sequence[WorkerView],
        rate: Callable[[WorkerView], float | None],
    ) -> None:
        self._rate = rate
        self._entry_numbers: Counter[WorkerId] = Counter()
        self._heap: list[tuple[float, WorkerId, int, WorkerView]] = []
        for worker in workers:
            self.refresh(worker)

    def best(self, task: Task) -> WorkerView | None:
        """Returns the best worker that does not already hold a run of the task."""
        skipped = []
        found = None
        while self._heap and found is None:
            entry = self._heap[0]
            _rating, worker_id, number, worker = entry
            if number != self._entry_numbers[worker_id]:
                heapq.heappop(self._heap)
            elif task.ref in worker.tasks:
                skipped.append(heapq.heappop(self._heap))
            else:
                found = worker
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return found

    def refresh(self, worker: WorkerView) -> None:
        """Rates a worker again, which makes its earlier heap entry stale."""
        worker_id = worker.worker_id
        self._entry_numbers[worker_id] += 1
        rating = self._rate(worker)
        if rating is not None:
            entry = (-rating, worker_id, self._entry_numbers[worker_id], worker)
            heapq.heappush(self._heap, entry)
