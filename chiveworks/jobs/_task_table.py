"""In-memory state of one shard, kept by its owner."""

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

_NO_RESOURCES = Resources()
_MAX_PAST_OVERRIDES = 200


class InvalidChangeError(Exception):
    """A change is inconsistent with the table, which indicates a bug."""


class TaskTable:
    """Jobs, tasks, reservations and overrides, modified by `apply`.

    Only the progress of an active attempt (the states `running` and `stopping` and
    the last checkpoint) is set directly on its record, without a change in the
    journal. Replaying the journal's changes in order rebuilds an equal table except
    for this progress.
    """

    def __init__(self) -> None:
        self.jobs: dict[JobId, JobRecord] = {}
        self.tasks: dict[TaskId, TaskRecord] = {}
        self.overrides: dict[str, OverrideRecord] = {}
        #: Closed overrides, oldest first. They are kept so that an operator can
        #: see a change from the night before even if its task has ended.
        self.past_overrides: dict[str, OverrideRecord] = {}
        #: Jobs with a move in progress, in the order in which the moves began.
        self.moving: dict[JobId, JobRecord] = {}
        #: Last owner that has not released the shard. It may still be renewing
        #: workers' leases.
        self.unreleased_owner: changes.OwnerStarted | None = None
        self._on_worker: dict[WorkerId, set[TaskId]] = defaultdict(set)
        self._reserved: dict[WorkerId, Resources] = {}

    def job_of(self, task_id: TaskId) -> JobRecord:
        """Returns the job of a task; the task must be in the table."""
        return self.jobs[job_id_of_task(task_id)]

    def active_on(self, worker: WorkerId) -> tuple[TaskRecord, ...]:
        """Returns the tasks that may be running on a worker."""
        return tuple(self.tasks[task_id] for task_id in self._on_worker.get(worker, ()))

    def reserved_on(self, worker: WorkerId) -> Resources:
        """Returns the total resources reserved on a worker for active tasks."""
        return self._reserved.get(worker, _NO_RESOURCES)

    def active_tasks(self) -> Iterator[TaskRecord]:
        """Iterates over all tasks that may be running."""
        for task_ids in self._on_worker.values():
            for task_id in task_ids:
                yield self.tasks[task_id]

    def workers_in_use(self) -> tuple[WorkerId, ...]:
        """Returns the workers on which a task may be running."""
        return tuple(worker for worker, tasks in self._on_worker.items() if tasks)

    def snapshot(self) -> tuple[changes.Change, ...]:
        """Returns changes that rebuild this table."""
        jobs = (changes.JobAccepted(job) for job in self.jobs.values())
        current = (
            changes.OverrideNoted(override) for override in self.overrides.values()
        )
        past = (
            change
            for override in self.past_overrides.values()
            for change in _past_override_changes(override)
        )
        owner = (self.unreleased_owner,) if self.unreleased_owner else ()
        return (*owner, *jobs, *past, *current)

    @singledispatchmethod
    def apply(self, change: object) -> None:
        """Applies a change to the table.

        Raises:
            InvalidChangeError: The change is inconsistent with the current state.
        """
        raise InvalidChangeError(f'unknown change type: {change!r}')

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
                self._add_reservation(task)

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
                raise InvalidChangeError(
                    f'cannot drop a job whose task {task.task_id} may be running'
                )
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
        self._add_reservation(task)

    @apply.register
    def _task_ended(self, change: changes.TaskEnded) -> None:
        task = self.tasks[change.task_id]
        if not task.is_active or change.attempt != task.attempt:
            raise InvalidChangeError(
                f'attempt {change.attempt} of {task.task_id} ended while attempt '
                f'{task.attempt} is {task.state.value}'
            )
        self._remove_reservation(task)
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
            self._remove_reservation(task)
        task.state = TaskState.CLAIMED
        task.worker = change.worker
        task.boot_id = change.boot_id
        self._add_reservation(task)

    @apply.register
    def _task_resized(self, change: changes.TaskResized) -> None:
        task = self.tasks[change.task_id]
        self._remove_reservation(task)
        task.reserved = change.reserved
        self._add_reservation(task)

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
        if len(self.past_overrides) > _MAX_PAST_OVERRIDES:
            self.past_overrides.pop(next(iter(self.past_overrides)))

    def _add_reservation(self, task: TaskRecord) -> None:
        self._on_worker[task.worker].add(task.task_id)
        self._reserved[task.worker] = self.reserved_on(task.worker) + task.reserved

    def _remove_reservation(self, task: TaskRecord) -> None:
        self._on_worker[task.worker].discard(task.task_id)
        self._reserved[task.worker] = self.reserved_on(task.worker) - task.reserved


def _past_override_changes(override: OverrideRecord) -> tuple[changes.Change, ...]:
    """Returns changes that restore a closed override, including its outcome."""
    detail, _, outcome = override.detail.rpartition('; ')
    return (
        changes.OverrideNoted(replace(override, detail=detail)),
        changes.OverrideClosed(override.override_id, outcome),
    )
