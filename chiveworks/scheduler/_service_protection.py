"""Throttles and evicts batch tasks that slow down latency-critical services."""

from collections.abc import Mapping
from datetime import timedelta

from chiveworks.base import TaskId, WorkerId
from chiveworks.instances import Instance
from chiveworks.jobs import TaskRecord
from chiveworks.membership import TaskState
from chiveworks.placement import (
    ActionType,
    Neighbour,
    ProtectionAction,
    ProtectionPolicy,
    SlowdownEstimator,
    WorkerPressure,
)
from chiveworks.scheduler._background_tasks import BackgroundTasks
from chiveworks.scheduler._session_manager import SessionManager
from chiveworks.scheduler._shard_context import ShardContext
from chiveworks.workers import WorkerReport

_SERVICE_PREFIX = 'service:'
#: Small enough to matter only between tasks with the same predicted slowdown.
_SIZE_WEIGHT = 0.001


class ServiceProtection:
    """Throttles or evicts tasks that share a worker with a slowed-down service.

    Args:
        context: State and services of the tenure.
        policy: Decides which task to throttle or evict.
        session_manager: Sends commands to workers.
        background: Runs the commands as background tasks.
        estimator: Predicts how much each task slows down the services.
        tolerated_slowdown: Slowdown of a service above which tasks are throttled or
            evicted.
    """

    def __init__(
        self,
        context: ShardContext,
        policy: ProtectionPolicy,
        session_manager: SessionManager,
        background: BackgroundTasks,
        estimator: SlowdownEstimator,
        tolerated_slowdown: float,
    ) -> None:
        self._context = context
        self._policy = policy
        self._session_manager = session_manager
        self._background = background
        self._estimator = estimator
        self._tolerated_slowdown = tolerated_slowdown
        self._metrics = context.metrics
        self._shares: dict[tuple[TaskId, int], float] = {}

    def observe(
        self, instance: Instance, report: WorkerReport, _kinds: Mapping[TaskId, str]
    ) -> None:
        """Applies the policy after each report that contains a service's slowdown."""
        slowdowns = [
            usage.slowdown
            for usage in report.usage
            if usage.task_id.startswith(_SERVICE_PREFIX)
        ]
        if not slowdowns:
            return
        pressure = WorkerPressure(
            report.worker,
            max(slowdowns) / self._tolerated_slowdown,
            self._neighbours(instance, report.worker),
        )
        action = self._policy.decide(pressure)
        if action is not None:
            self._background.start(self._execute_action(action))

    def _neighbours(
        self, instance: Instance, worker: WorkerId
    ) -> tuple[Neighbour, ...]:
        self._estimator.refresh_if_due()
        return tuple(
            self._neighbour(instance, task)
            for task in self._context.table.active_on(worker)
            if task.state is TaskState.RUNNING
        )

    def _neighbour(self, instance: Instance, task: TaskRecord) -> Neighbour:
        spec = self._context.table.job_of(task.task_id).spec
        harm = sum(
            self._estimator.pair_excess(str(service), spec.kind, 1)
            for service in instance.services
        )
        # Without observations all kinds have the same predicted slowdown; the larger
        # task then counts as the more harmful one.
        size = task.reserved.cpu_millicores / max(instance.capacity.cpu_millicores, 1)
        return Neighbour(
            task.task_id,
            harm + size * _SIZE_WEIGHT,
            self._lost_work(task),
            self._shares.get((task.task_id, task.attempt), 1),
            evictable=spec.resumable,
        )

    def _lost_work(self, task: TaskRecord) -> timedelta:
        """Returns the run time that an eviction would discard.

        A task that can checkpoint does so when it is evicted and loses no work. Other
        tasks lose all work since their start was confirmed. If the time of the
        confirmation is unknown, the result is 0.
        """
        if self._context.table.job_of(task.task_id).spec.can_checkpoint:
            return timedelta(0)
        confirmed = self._session_manager.confirmed_at(task)
        if confirmed is None:
            return timedelta(0)
        return self._context.clock.monotonic() - confirmed

    async def _execute_action(self, action: ProtectionAction) -> None:
        task = self._context.table.tasks.get(action.task_id)
        if task is None or not task.is_active or task.worker != action.worker_id:
            return
        if action.action_type is ActionType.EVICT:
            tenant = self._context.table.job_of(task.task_id).tenant
            self._metrics.count_eviction(tenant, 'protection')
            await self._session_manager.stop_task(task, checkpoint=True)
        elif await self._session_manager.throttle_task(task, action.share):
            self._shares[(task.task_id, task.attempt)] = action.share
