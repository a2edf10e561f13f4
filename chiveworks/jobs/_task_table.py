"""State of one shard in the memory of its owner."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import replace
from functools import singledispatchmethod

from chiveworks.base import JobId, Resources, TaskId, WorkerId
from chiveworks.jobs import _changes as changes
from chiveworks.jobs._job_record import JobRecord, job_id_of_task
from chiveworks.jobs._override import OverrideRecord
from chiveworks.jobs._task_record import TaskRecord
from chiveworks.membership import TaskState

_NOTHING = Resources()
_MOST_PAST_OVERRIDES = 200


class InvalidChangeError(Exception):
    """A change does not fit the table; a fault of programming."""


class TaskTable:
    """Jobs, tasks, reservations and overrides; changed only by `apply`.

    Replaying the journal's changes in order rebuilds an equal table, except
    that attempts which were running or stopping are `claimed` again.
    """

    def __init__(self) -> None:
        self.jobs: dict[JobId, JobRecord] = {}
        self.tasks: dict[TaskId, TaskRecord] = {}
        self.overrides: dict[str, OverrideRecord] = {}
        #: Closed ones, oldest first: what was done at night has to be visible in
        #: the morning although its task has ended.
        self.past_overrides: dict[str, OverrideRecord] = {}
        #: Jobs whose move has begun, in that order.
        self.moving: dict[JobId, JobRecord] = {}
        #: The last owner that did not release the shard; it may still be
        #: renewing workers' leases.
        self.unreleased_owner: changes.OwnerStarted | None = None
        self._on_worker: dict[WorkerId, set[TaskId]] = defaultdict(set)
        self._reserved: dict[WorkerId, Resources] = {}

    def job_of(self, task_id: TaskId) -> JobRecord:
        """Returns the job of a task that is in the table."""
        return self.jobs[job_id_of_task(task_id)]

    def active_on(self, worker: WorkerId) -> tuple[TaskRecord, ...]:
        """Returns the tasks that may be running on a worker."""
        return tuple(self.tasks[one] for one in self._on_worker.get(worker, ()))

    def reserved_on(self, worker: WorkerId) -> Resources:
        """Returns the sum of what is held on a worker for active tasks."""
        return self._reserved.get(worker, _NOTHING)

    def active_tasks(self) -> Iterator[TaskRecord]:
        """Iterates over all tasks that may be running."""
        for task_ids in self._on_worker.values():
            for task_id in task_ids:
                yield self.tasks[task_id]

    def workers_in_use(self) -> tuple[WorkerId, ...]:
        """Returns the workers on which something may be running."""
        return tuple(worker for worker, tasks in self._on_worker.items() if tasks)

    def snapshot(self) -> tuple[changes.Change, ...]:
        """Returns changes that rebuild this table."""
        jobs = (changes.JobAccepted(job) for job in self.jobs.values())
        noted = (changes.OverrideNoted(one) for one in self.overrides.values())
        past = (
            change for one in self.past_overrides.values() for change in _as_past(one)
        )
        owner = (self.unreleased_owner,) if self.unreleased_owner else ()
        return (*owner, *jobs, *past, *noted)

    @singledispatchmethod
    def apply(self, change: object) -> None:
        """Applies a change.

        Raises:
            InvalidChangeError: The change does not fit the current state.
        """
        raise InvalidChangeError(f'unknown change {change!r}')

    @apply.register
    def _owner_started(self, change: changes.OwnerStarted) -> None:
        self.unreleased_owner = change

    @apply.register
    def _owner_released(self, change: changes.OwnerReleased) -> None:
        self.unreleased_owner = None

    @apply.register
    def _job_accepted(self, change: changes.JobAccepted) -> None:
        job = change.job
        if job.job_id in self.jobs:
            raise InvalidChangeError(f'job {job.job_id} is already in the shard')
        self.jobs[job.job_id] = job
        if job.moving:
            self.moving[job.job_id] = job
        for task in job.tasks:
            self.tasks[task.task_id] = task
            if task.is_active:
                self._hold(task)

    @apply.register
    def _job_cancelled(self, change: changes.JobCancelled) -> None:
        job = self.jobs[change.job_id]
        job.cancelled = True
        for task in job.tasks:
            if task.state in {TaskState.QUEUED, TaskState.HELD}:
                task.state = TaskState.CANCELLED

    @apply.register
    def _job_unschedulable(self, change: changes.JobUnschedulable) -> None:
        job = self.jobs[change.job_id]
        job.unschedulable = True
        job.reason = change.reason

    @apply.register
    def _job_moving(self, change: changes.JobMoving) -> None:
        job = self.jobs[change.job_id]
        job.moving = True
        self.moving[job.job_id] = job

    @apply.register
    def _job_stayed(self, change: changes.JobStayed) -> None:
        job = self.jobs[change.job_id]
        job.moving = False
        job.generation = change.generation
        self.moving.pop(job.job_id, None)

    @apply.register
    def _job_dropped(self, change: changes.JobDropped) -> None:
        self.moving.pop(change.job_id, None)
        for task in self.jobs.pop(change.job_id).tasks:
            if task.is_active:
                raise InvalidChangeError(f'task {task.task_id} may be running')
            self.tasks.pop(task.task_id)

    @apply.register
    def _task_claimed(self, change: changes.TaskClaimed) -> None:
        task = self.tasks[change.task_id]
        if task.state is not TaskState.QUEUED or change.attempt != task.attempt + 1:
            raise InvalidChangeError(
                f'attempt {change.attempt} of {task.task_id} claimed while attempt '
                f'{task.attempt} is {task.state.value}'
            )
        task.state = TaskState.CLAIMED
        task.attempt = change.attempt
        task.worker = change.worker
        task.boot_id = change.boot_id
        task.reserved = change.reserved
        self._hold(task)

    @apply.register
    def _task_ended(self, change: changes.TaskEnded) -> None:
        task = self.tasks[change.task_id]
        if not task.is_active or change.attempt != task.attempt:
            raise InvalidChangeError(
                f'attempt {change.attempt} of {task.task_id} ended while attempt '
                f'{task.attempt} is {task.state.value}'
            )
        self._free(task)
        task.state = change.state
        task.result = change.result
        task.checkpoint = change.checkpoint
        task.failures = change.failures
        task.reason = change.reason

    @apply.register
    def _task_released(self, change: changes.TaskReleased) -> None:
        task = self.tasks[change.task_id]
        if task.state is not TaskState.HELD:
            raise InvalidChangeError(f'task {task.task_id} is not held')
        task.state = change.state

    @apply.register
    def _task_moved(self, change: changes.TaskMoved) -> None:
        task = self.tasks[change.task_id]
        if task.is_active:
            self._free(task)
        task.state = TaskState.CLAIMED
        task.worker = change.worker
        task.boot_id = change.boot_id
        self._hold(task)

    @apply.register
    def _task_resized(self, change: changes.TaskResized) -> None:
        task = self.tasks[change.task_id]
        self._free(task)
        task.reserved = change.reserved
        self._hold(task)

    @apply.register
    def _override_noted(self, change: changes.OverrideNoted) -> None:
        override = change.override
        self.past_overrides.pop(override.override_id, None)
        self.overrides[override.override_id] = override

    @apply.register
    def _override_closed(self, change: changes.OverrideClosed) -> None:
        override = self.overrides.pop(change.override_id, None)
        if override is None:
            return
        detail = f'{override.detail}; {change.outcome}'
        self.past_overrides[change.override_id] = replace(override, detail=detail)
        if len(self.past_overrides) > _MOST_PAST_OVERRIDES:
            self.past_overrides.pop(next(iter(self.past_overrides)))

    def _hold(self, task: TaskRecord) -> None:
        self._on_worker[task.worker].add(task.task_id)
        self._reserved[task.worker] = self.reserved_on(task.worker) + task.reserved

    def _free(self, task: TaskRecord) -> None:
        self._on_worker[task.worker].discard(task.task_id)
        self._reserved[task.worker] = self.reserved_on(task.worker) - task.reserved


def _as_past(override: OverrideRecord) -> tuple[changes.Change, ...]:
    """Returns changes that rebuild a closed override with its detail."""
    detail, _, outcome = override.detail.rpartition('; ')
    return (
        changes.OverrideNoted(replace(override, detail=detail)),
        changes.OverrideClosed(override.override_id, outcome),
    )
