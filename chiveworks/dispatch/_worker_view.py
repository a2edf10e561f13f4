"""State of one worker as the scheduler knows it."""

from collections import deque
from datetime import timedelta

from chiveworks.base import WorkerId
from chiveworks.dispatch._claim_ledger import ClaimLedger
from chiveworks.dispatch._worker_allocation import WorkerAllocation
from chiveworks.dispatch._worker_control import WorkerControl
from chiveworks.dispatch._worker_info import WorkerInfo
from chiveworks.dispatch._worker_lease import WorkerLease
from chiveworks.workflow import Job, Task, TaskRef


class WorkerView:
    """Allocated resources, runs, lease and health of a worker.

    The resources of a run are allocated from its claim until its end is certain.

    Attributes:
        info: Latest entry in the platform's list.
        listed: Whether the platform's list still names the worker.
        control: Client of the worker.
        lease: Estimate of the worker's lease.
        live: Whether the worker responded to the latest poll.
        tasks: Tasks that are claimed for the worker or run on it.
        allocated: Resources allocated to tasks and reservations.
        reservations: Tasks whose resources are reserved until they are claimed.
        spare_headroom: Headroom that all filling tasks together may take from serving
            tasks, by serving image.
        version: Number of changes of `allocated` and `spare_headroom`.
        born_ms: Start time of the incarnation that responded last; 0 when unknown.
        applied_end: Number of the last ended run that was applied.
        acknowledged: Number of the last ended run whose effect is durable.
        unacknowledged: Applied ends, each as its number, the job and the version of
            the job that must become durable.
        failure_streak: Failed runs since the last successful run; of each task, only
            its first failure counts.
        quarantined_until: Time until which the worker gets no further work.
    """

    def __init__(
        self,
        info: WorkerInfo,
        control: WorkerControl,
        lease: WorkerLease,
        ledger: ClaimLedger | None = None,
    ) -> None:
        self.info = info
        self._ledger = ledger or ClaimLedger()
        self.listed = True
        self.control = control
        self.lease = lease
        self.live = False
        self.tasks: dict[TaskRef, Task] = {}
        self.allocated = WorkerAllocation()
        self.reservations: dict[TaskRef, Task] = {}
        self.version = 0
        self.spare_headroom: dict[str, float] = {}
        self.born_ms = 0
        self.applied_end = 0
        self.acknowledged = 0
        self.unacknowledged: deque[tuple[int, Job | None, int]] = deque()
        self.failure_streak = 0
        self.quarantined_until = timedelta()

    @property
    def worker_id(self) -> WorkerId:
        """Id of the worker."""
        return self.info.worker_id

    @property
    def entry_current(self) -> bool:
        """Whether the entry may be that of the incarnation that responded last."""
        return self.born_ms in {0, self.info.born_ms} or not self.info.born_ms

    def time_to_departure(self, now: timedelta) -> timedelta | None:
        """Returns the minimum time until a draining worker leaves; None if unknown.

        It is counted on the worker's clock, since the entry may have been written long
        before this term.
        """
        info, clock = self.info, self.lease.clock_at(now)
        if info.remaining is None or info.written_at is None or clock is None:
            return None
        if not self.entry_current:
            # Another incarnation had its own clock.
            return None
        return info.written_at + info.remaining - clock

    def add(self, task: Task) -> None:
        """Allocates the resources of a run."""
        self._ledger.hold(task)
        self.tasks[task.ref] = task
        self._count(task, 1)

    def remove(self, task: Task) -> None:
        """Frees the resources of a run that has certainly ended."""
        removed = self.tasks.pop(task.ref, None)
        if removed is not None:
            self._count(task, -1)
            self._ledger.drop(removed)

    def reserve(self, task: Task) -> None:
        """Reserves resources for a task that is to run here next."""
        if task.ref not in self.reservations:
            self._ledger.hold(task)
            self.reservations[task.ref] = task
            self._count(task, 1)

    def free_reservation(self, task: Task) -> None:
        """Frees the resources that are reserved for a task."""
        reserved = self.reservations.pop(task.ref, None)
        if reserved is not None:
            self._count(task, -1)
            self._ledger.drop(reserved)

    def set_pace(self, task: Task, percent: int) -> None:
        """Records the pace of a run, which uses processor time in proportion to it."""
        counted = task.spec.fills and task.ref in self.tasks
        if counted:
            self.allocated.count_filling(task, -1)
        task.pace_percent = percent
        if counted:
            self.allocated.count_filling(task, 1)
            self.version += 1

    def update_spare_headroom(self, spare_headroom: dict[str, float]) -> None:
        """Sets the headroom that serving tasks can spare, by image."""
        self.spare_headroom = spare_headroom
        self.version += 1

    def lose_contact(self, now: timedelta) -> bool:
        """Records that the worker does not respond; returns whether it did before."""
        was_live = self.live
        if was_live or self.lease.lost_at is None:
            self.lease.lost_at = now
        self.live = False
        return was_live

    def acknowledge(self) -> int:
        """Returns the number of the last end up to which all effects are durable."""
        pending = self.unacknowledged
        while pending and _durable(pending[0][1], pending[0][2]):
            self.acknowledged = pending.popleft()[0]
        return self.acknowledged

    def restart(self, born_ms: int, now: timedelta) -> None:
        """Resets the state that belonged to the previous incarnation."""
        self.born_ms = born_ms
        self.applied_end = 0
        self.acknowledged = 0
        self.unacknowledged.clear()
        self.lease.restart(now)

    def _count(self, task: Task, sign: int) -> None:
        self.allocated.count(task, sign)
        self.version += 1


def _durable(job: Job | None, version: int) -> bool:
    return job is None or job.durable_version >= version
