"""State of a worker for placement decisions."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from chiveworks.base import RackName, Resources, ServiceClass, WorkerId
from chiveworks.placement._demand import Demand


@dataclass(frozen=True, slots=True)
class Candidate:
    """A worker with its free resources and its tasks.

    Attributes:
        worker_id: The worker.
        rack: Its rack.
        capacity: Total resources.
        free: Resources that are not claimed.
        kinds: Number of tasks by kind, services included.
        service_kinds: The latency-critical ones among `kinds`.
        load: Expected processor utilization, 0 to 1: the last measurement, which may
            lag, adjusted for tasks claimed and released since.
        failed_starts: Number of consecutive failed starts and tasks.
        quarantined: Whether it currently accepts no tasks.
    """

    worker_id: WorkerId
    rack: RackName
    capacity: Resources
    free: Resources
    kinds: Mapping[str, int] = field(default_factory=dict)
    service_kinds: frozenset[str] = frozenset()
    load: float = 0
    failed_starts: int = 0
    quarantined: bool = False

    def accepts(self, demand: Demand) -> bool:
        """Tells whether the worker can run the demand now."""
        return not self.quarantined and demand.resources.fits_in(self.free)

    def load_with(self, demand: Demand) -> float:
        """Returns the expected load with the demand running, 0 to 1."""
        if self.capacity.cpu_millicores <= 0:
            return 1
        added = demand.resources.cpu_millicores / self.capacity.cpu_millicores
        return min(self.load + added, 1)

    def with_task(self, demand: Demand) -> 'Candidate':
        """Returns this worker after the demand has been claimed on it."""
        kinds = dict(self.kinds)
        kinds[demand.kind] = kinds.get(demand.kind, 0) + 1
        services = self.service_kinds
        if demand.service_class is ServiceClass.LATENCY_CRITICAL:
            services |= {demand.kind}
        return replace(
            self,
            free=self.free - demand.resources,
            kinds=kinds,
            service_kinds=services,
            load=self.load_with(demand),
        )

    def without_task(self, demand: Demand) -> 'Candidate':
        """Returns this worker after the claim of the demand has ended."""
        kinds = dict(self.kinds)
        kinds[demand.kind] = kinds.get(demand.kind, 0) - 1
        if kinds[demand.kind] <= 0:
            kinds.pop(demand.kind)
        total_millicores = max(self.capacity.cpu_millicores, 1)
        return replace(
            self,
            free=self.free + demand.resources,
            kinds=kinds,
            service_kinds=self.service_kinds & kinds.keys(),
            load=max(self.load - demand.resources.cpu_millicores / total_millicores, 0),
        )
