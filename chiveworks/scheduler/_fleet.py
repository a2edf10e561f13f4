"""The workers of one shard as placement sees them."""

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

_NOTHING = Resources()


class Fleet:
    """Works out what each worker has free; builds candidates for a round."""

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
        """Returns the workers that may receive starts now."""
        index = CandidateIndex(self._random)
        for session in sessions.values():
            is_live = session.instance.state is InstanceState.LIVE
            if is_live and session.is_in_contact and not session.has_pending_starts:
                index.put(self._candidate(session))
        return index

    def free_on(self, session: WorkerSession) -> Resources:
        """Returns what no service, claim or reported task holds on a worker."""
        instance = session.instance
        held = self._table.reserved_on(session.worker) + self._unclaimed_on(session)
        return instance.capacity - self._held_by_services(instance) - held

    def fits_empty(self, demand: Resources) -> bool:
        """Tells whether some worker could hold `demand` if no task ran there."""
        return any(
            demand.fits_in(instance.capacity - self._held_by_services(instance))
            for instance in self._list_workers()
        )

    def size_of(self, spec: TaskSpec) -> Resources:
        """Returns what to reserve: the declared or the observed size if larger.

        An observed size that fits no worker would keep the task waiting for ever.
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
        """Returns the measured load plus that of starts not measured yet.

        Measurements lag; without the recent starts, tasks would pile up on the
        worker that was idle when it was last measured.
        """
        table = self._table
        recent = sum(
            task.reserved.cpu_millicores
            for task in table.active_on(session.worker)
            if session.started_recently(task.task_id)
        )
        whole = max(session.instance.capacity.cpu_millicores, 1)
        return min(self._load_of(session.worker) + recent / whole, 1)

    def _held_by_services(self, instance: Instance) -> Resources:
        held = _NOTHING
        for name in instance.services:
            entry = self._replica.entry(name)
            if entry is not None:
                held += entry.resources
        return held

    def _unclaimed_on(self, session: WorkerSession) -> Resources:
        """Returns what reported attempts hold that no claim accounts for.

        Besides tasks started by hand these are copies that are still to be
        stopped, such as the one left behind by a move.
        """
        held = _NOTHING
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
