"""Workers that were seen a short while ago."""

from collections import Counter, defaultdict
from datetime import timedelta
from typing import Final

from chiveworks.base import Clock, WorkerId
from chiveworks.capacity._service_capacity import ServiceCapacity
from chiveworks.capacity._worker_shape import WorkerShape

#: Time for which a worker counts as one that may come back after it was seen last.
MEMORY: Final = timedelta(seconds=120)
_Sighting = tuple[str, WorkerId, WorkerShape]


class CapacityHistory:
    """Keeps the capacity of each service with the workers that may come back.

    The pattern that it answers: workers leave in numbers, by crashes, partitions or
    planned replacement, and others of the same kinds come some seconds to a minute
    later. A service counts with all workers of the last two minutes, so that what they
    could run is not taken for impossible meanwhile.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen: dict[_Sighting, timedelta] = {}
        self._inherited: dict[str, ServiceCapacity] = {}
        self._inherited_at = timedelta()

    def inherit(self, services: dict[str, ServiceCapacity]) -> None:
        """Counts the services of an earlier leader's record as seen now."""
        self._inherited = services
        self._inherited_at = self._clock.monotonic()

    def observe(self, service: str, worker_id: WorkerId, shape: WorkerShape) -> None:
        """Takes note of a worker."""
        self._seen[service, worker_id, shape] = self._clock.monotonic()

    def services(self) -> dict[str, ServiceCapacity]:
        """Returns the capacity of each service of which all workers have a known size."""
        oldest = self._clock.monotonic() - MEMORY
        self._seen = {
            sighting: seen_at
            for sighting, seen_at in self._seen.items()
            if seen_at >= oldest
        }
        if self._inherited_at < oldest:
            self._inherited = {}
        counts: defaultdict[str, Counter[WorkerShape]] = defaultdict(Counter)
        for service, _worker_id, shape in self._seen:
            counts[service][shape] += 1
        names = counts.keys() | self._inherited.keys()
        return {
            name: self._known(name, counts[name])
            for name in names
            if all(map(_size_known, counts[name]))
        }

    def _known(self, service: str, counts: Counter[WorkerShape]) -> ServiceCapacity:
        inherited = self._inherited.get(service, ServiceCapacity())
        return ServiceCapacity(counts).union(inherited)


def _size_known(shape: WorkerShape) -> bool:
    # An entry without a size may be of a worker that has one.
    return bool(shape.capacity.cpu_millicores and shape.capacity.memory_bytes)
