"""What the scheduler knows of one worker."""

from collections import deque
from datetime import timedelta

from chiveworks.base import WorkerId
from chiveworks.dispatch._worker_allocation import WorkerAllocation
from chiveworks.dispatch._worker_control import WorkerControl
from chiveworks.dispatch._worker_info import WorkerInfo
from chiveworks.dispatch._worker_lease import WorkerLease
from chiveworks.workflow import Job, Task, TaskRef


class WorkerView:
    """Room, runs, lease and health of a worker.

    A run holds its room from the claim until its end is known for certain.

    Attributes:
        info: Latest entry of the platform's list.
        listed: Whether the platform's list still names the worker.
        control: Calls of the worker.
        lease: Estimate of its lease.
        live: Whether the latest look was answered.
        tasks: Tasks that are claimed for it or run on it.
        allocated: What its tasks take of it.
        reservations: Tasks for which room is kept until they are claimed.
        spare_headroom: Headroom that filling tasks together may take from serving
            tasks, by image.
        version: Number of the latest change of the room or of `spare_headroom`.
        born_ms: Incarnation that answered last; 0 before the first answer.
        applied_end: Number of the last end that was applied.
        acknowledged: Number of the last end whose effect is durable.
        unacknowledged: Applied ends, each with the record version to wait for.
        failure_streak: Failed runs since the last run that was done.
        quarantined_until: Until when it gets no further work.
    """

    def __init__(
        self, info: WorkerInfo, control: WorkerControl, lease: WorkerLease
    ) -> None:
        self.info = info
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

    def add(self, task: Task) -> None:
        """Takes room for a run."""
        self.tasks[task.ref] = task
        self._count(task, 1)

    def remove(self, task: Task) -> None:
        """Frees the room of a run that has certainly ended."""
        if self.tasks.pop(task.ref, None) is not None:
            self._count(task, -1)

    def reserve(self, task: Task) -> None:
        """Keeps room for a task that still runs elsewhere."""
        if task.ref not in self.reservations:
            self.reservations[task.ref] = task
            self._count(task, 1)

    def free_reservation(self, task: Task) -> None:
        """Gives up the room that was kept for a task."""
        if self.reservations.pop(task.ref, None) is not None:
            self._count(task, -1)

    def set_pace(self, task: Task, percent: int) -> None:
        """Notes the pace of a run; a paused one uses no processor time."""
        if task.spec.fills and task.ref in self.tasks:
            works = int(percent != 0) - int(task.pace_percent != 0)
            self.allocated.count_filling(task, works)
            self.version += 1
        task.pace_percent = percent

    def update_spare_headroom(self, spare_headroom: dict[str, float]) -> None:
        """Takes what serving tasks can spare, by image."""
        self.spare_headroom = spare_headroom
        self.version += 1

    def acknowledge(self) -> int:
        """Returns the number up to which all ends have durable effects."""
        pending = self.unacknowledged
        while pending and _durable(pending[0][1], pending[0][2]):
            self.acknowledged = pending.popleft()[0]
        return self.acknowledged

    def restart(self, born_ms: int, now: timedelta) -> None:
        """Forgets what belonged to an incarnation that is gone."""
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
