"""Keeps the queue of waiting tasks in step with the shard's table."""

from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod

from chiveworks.base import Clock, Resources, ServiceClass, TaskId
from chiveworks.jobs import (
    JobAccepted,
    JobCancelled,
    JobMoving,
    JobRecord,
    JobStayed,
    JobUnschedulable,
    TaskEnded,
    TaskMoved,
    TaskRecord,
    TaskReleased,
    TaskSpec,
    TaskTable,
)
from chiveworks.membership import TaskState
from chiveworks.placement import Demand, TaskQueue


class WorkQueue:
    """Queue of the tasks that are in the state `queued` in the table."""

    def __init__(
        self,
        queue: TaskQueue,
        table: TaskTable,
        clock: Clock,
        size_of: Callable[[TaskSpec], Resources],
    ) -> None:
        self._queue = queue
        self._size_of = size_of
        self._table = table
        self._clock = clock
        self._demands: dict[TaskId, Demand] = {}

    def __len__(self) -> int:
        """Returns the number of waiting tasks."""
        return len(self._queue)

    def load(self) -> None:
        """Fills the queue from a table replayed from the journal."""
        for job in self._table.jobs.values():
            self._push_waiting(job)
            for task in job.tasks:
                if task.is_active:
                    self._queue.add_running(self._demand_of(job, task))

    def pop(self) -> Demand | None:
        """Takes the next task, which must be claimed, given back or dropped."""
        return self._queue.pop()

    def give_back(self, demand: Demand) -> None:
        """Puts a popped task back into the queue."""
        self._queue.release_quota(demand)
        self._queue.push(demand)

    def drop(self, demand: Demand) -> None:
        """Removes a popped task that must not run any more."""
        self._queue.release_quota(demand)
        self._demands.pop(demand.task_id, None)

    @singledispatchmethod
    def observe(self, change: object) -> None:
        """Updates the queue after a change was applied to the table."""

    @observe.register
    def _job_accepted(self, change: JobAccepted) -> None:
        self._push_waiting(change.job)

    @observe.register
    def _job_cancelled(self, change: JobCancelled) -> None:
        self._remove_waiting(self._table.jobs[change.job_id])

    @observe.register
    def _job_unschedulable(self, change: JobUnschedulable) -> None:
        self._remove_waiting(self._table.jobs[change.job_id])

    @observe.register
    def _job_moving(self, change: JobMoving) -> None:
        self._remove_waiting(self._table.jobs[change.job_id])

    @observe.register
    def _job_stayed(self, change: JobStayed) -> None:
        self._push_waiting(self._table.jobs[change.job_id])

    @observe.register
    def _task_ended(self, change: TaskEnded) -> None:
        demand = self._demands.pop(change.task_id, None)
        if demand is not None:
            self._queue.release_quota(demand)
        if change.state is TaskState.QUEUED:
            job = self._table.job_of(change.task_id)
            self._push(job, self._table.tasks[change.task_id])

    @observe.register
    def _task_released(self, change: TaskReleased) -> None:
        if change.state is TaskState.QUEUED:
            job = self._table.job_of(change.task_id)
            self._push(job, self._table.tasks[change.task_id])

    @observe.register
    def _task_moved(self, change: TaskMoved) -> None:
        if change.task_id not in self._demands:
            job = self._table.job_of(change.task_id)
            task = self._table.tasks[change.task_id]
            self._queue.add_running(self._demand_of(job, task))

    def _push_waiting(self, job: JobRecord) -> None:
        if job.moving or job.unschedulable:
            return
        for task in job.tasks:
            if task.state is TaskState.QUEUED:
                self._push(job, task)

    def _push(self, job: JobRecord, task: TaskRecord) -> None:
        self._queue.push(self._demand_of(job, task))

    def _remove_waiting(self, job: JobRecord) -> None:
        for task in job.tasks:
            if self._queue.remove(task.task_id):
                self._demands.pop(task.task_id, None)

    def _demand_of(self, job: JobRecord, task: TaskRecord) -> Demand:
        spec = job.spec
        waited = max(self._clock.now() - job.accepted_at, timedelta(0))
        arrival = self._clock.monotonic() - waited
        allowed = timedelta(milliseconds=spec.deadline_ms)
        demand = Demand(
            task_id=task.task_id,
            kind=spec.kind,
            tenant=job.tenant,
            resources=self._size_of(spec),
            arrival=arrival,
            service_class=ServiceClass.BATCH,
            urgent=spec.urgent,
            deadline=arrival + allowed if spec.deadline_ms else None,
        )
        self._demands[task.task_id] = demand
        return demand
