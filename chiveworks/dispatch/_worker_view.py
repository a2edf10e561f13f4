"""What the scheduler knows of one worker."""

from collections import Counter, deque
from datetime import timedelta

from chiveworks.base import WorkerId
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
        cpu_millicores: Processor claims of tasks that do not fill.
        fill_millicores: Processor claims of tasks that fill.
        serving_millicores: Processor claims of tasks with a latency target.
        serving_images: Tasks with a latency target, by image.
        filling_images: Processor claims of tasks that fill, by image.
        memory_bytes: Memory claims.
        accelerators: Accelerator claims.
        spare_headroom: Headroom that filling tasks together may take from serving
            tasks, by image.
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
        self.cpu_millicores = 0
        self.fill_millicores = 0
        self.serving_millicores = 0
        self.serving_images: Counter[str] = Counter()
        self.filling_images: Counter[str] = Counter()
        self.memory_bytes = 0
        self.accelerators = 0
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

    def set_pace(self, task: Task, percent: int) -> None:
        """Notes the pace of a run; a paused one uses no processor time."""
        if task.spec.fills and task.ref in self.tasks:
            works = int(percent != 0) - int(task.pace_percent != 0)
            self._count_filling(task, works)
        task.pace_percent = percent

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
        spec, demand = task.spec, task.spec.demand
        if spec.fills:
            self._count_filling(task, sign if task.pace_percent else 0)
        else:
            self.cpu_millicores += sign * demand.cpu_millicores
        if spec.serves:
            self.serving_millicores += sign * demand.cpu_millicores
            _adjust(self.serving_images, spec.image, sign)
        self.memory_bytes += sign * demand.memory_bytes
        self.accelerators += sign * demand.accelerators

    def _count_filling(self, task: Task, sign: int) -> None:
        change = sign * task.spec.demand.cpu_millicores
        self.fill_millicores += change
        _adjust(self.filling_images, task.spec.image, change)


def _adjust(amounts: Counter[str], image: str, change: int) -> None:
    amounts[image] += change
    if amounts[image] <= 0:
        amounts.pop(image)


def _durable(job: Job | None, version: int) -> bool:
    return job is None or job.durable_version >= version
