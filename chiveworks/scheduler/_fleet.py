"""Free capacity of a shard's workers, as input to placement."""

from collections import Counter
from collections.abc import Callable, Mapping

from numpy.random import Generator

from chiveworks.base import Resources, WorkerId
from chiveworks.catalogue import CatalogueReplica
from chiveworks.instances import Instance, InstanceState
from chiveworks.jobs import TaskSpec, TaskTable
from chiveworks.placement import (
    Candidate,
    CandidateIndex,
    Quarantine,
    SizeEstimator,
)
from chiveworks.scheduler._worker_session import WorkerSession

_NO_RESOURCES = Resources()


class Fleet:
    """Computes the free resources of workers and builds placement candidates."""

    def __init__(
        self,
        table: TaskTable,
        replica: CatalogueReplica,
        quarantine: Quarantine,
        random: Generator,
        load_of: Callable[[WorkerId], float],
        sizes: SizeEstimator,
        list_workers: Callable[[], tuple[Instance, ...]],
    ) -> None:
        self._table = table
        self._replica = replica
        self._quarantine = quarantine
        self._random = random
        self._load_of = load_of
        self._sizes = sizes
        self._list_workers = list_workers

    def candidates(self, sessions: Mapping[WorkerId, WorkerSession]) -> CandidateIndex:
        """Returns the workers on which tasks may be started now."""
        index = CandidateIndex(self._random)
        for session in sessions.values():
            is_live = session.instance.state is InstanceState.LIVE
            if is_live and session.is_in_contact and not session.has_pending_starts:
                index.put(self._candidate(session))
        return index

    def free_on(self, session: WorkerSession) -> Resources:
        """Returns the resources not held by a service, a claim or a reported task."""
        instance = session.instance
        held = self._table.reserved_on(session.worker) + self._held_unclaimed(session)
        return instance.capacity - self._reserved_by_services(instance) - held

    def fits_empty(self, demand: Resources) -> bool:
        """Returns whether `demand` fits some worker that runs only its services."""
        return any(
            demand.fits_in(instance.capacity - self._reserved_by_services(instance))
            for instance in self._list_workers()
        )

    def size_of(self, spec: TaskSpec) -> Resources:
        """Returns the larger of the declared and the observed size, to be reserved.

        An observed size that fits no worker is ignored; otherwise the task would
        wait forever.
        """
        observed = self._sizes.predict(spec.kind, spec.resources)
        return observed if self.fits_empty(observed) else spec.resources

    def _candidate(self, session: WorkerSession) -> Candidate:
        instance, worker = session.instance, session.worker
        kinds = Counter(
            self._table.job_of(task.task_id).spec.kind
            for task in self._table.active_on(worker)
        )
        services = frozenset(str(name) for name in instance.services)
        kinds.update(services)
        return Candidate(
            worker_id=worker,
            rack=instance.rack,
            capacity=instance.capacity,
            free=self.free_on(session),
            kinds=dict(kinds),
            service_kinds=services,
            load=self._expected_load(session),
            failed_starts=self._quarantine.failed_starts(worker),
            quarantined=not self._quarantine.allows(worker),
        )

    def _expected_load(self, session: WorkerSession) -> float:
        """Returns the measured load plus the reserved load of recent starts.

        Measurements lag. Without the recent starts, too many tasks would be placed
        on a worker that was idle when it was last measured.
        """
        table = self._table
        recent = sum(
            task.reserved.cpu_millicores
            for task in table.active_on(session.worker)
            if session.started_recently(task.task_id)
        )
        whole = max(session.instance.capacity.cpu_millicores, 1)
        return min(self._load_of(session.worker) + recent / whole, 1)

    def _reserved_by_services(self, instance: Instance) -> Resources:
        held = _NO_RESOURCES
        for name in instance.services:
            entry = self._replica.entry(name)
            if entry is not None:
                held += entry.resources
        return held

    def _held_unclaimed(self, session: WorkerSession) -> Resources:
        """Returns the resources of reported attempts that have no claim.

        These are tasks started by hand and copies that still have to be stopped,
        for example on the former worker of a moved task.
        """
        held = _NO_RESOURCES
        if session.report is None:
            return held
        claimed = {
            (task.task_id, task.attempt)
            for task in self._table.active_on(session.worker)
        }
        for one in session.report.tasks:
            if not one.state.ended and (one.task_id, one.attempt) not in claimed:
                held += one.allotted
        return held
