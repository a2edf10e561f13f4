"""Queue of batch tasks with tenant quotas and configurable order."""

import heapq
import itertools
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from chiveworks.base import Registry, TaskId, TenantName
from chiveworks.placement._demand import Demand


class QueueOrder(Protocol):
    """Order of waiting tasks."""

    def key(self, demand: Demand, sequence: int) -> float:
        """Returns the fixed sort key of a task; lower keys come first."""

    def penalty(self, quota_share: float) -> float:
        """Returns the amount added to a tenant's keys for the used share of its quota."""


#: Orders by the name used in settings.
queue_orders: Registry[QueueOrder] = Registry('queue order')


#: Outdated heads are removed when there are more than this many per tenant, so that
#: tenants at their quota do not make the heap grow without bound.
_MAX_HEADS_PER_TENANT = 8


@dataclass
class _TenantQueue:
    """Waiting tasks of one tenant, its quota and the charged processors in millicores."""

    quota: int | None = None
    running: int = 0
    #: Incremented when the tenant's entry in the heap of heads becomes outdated.
    version: int = 0
    waiting: list[tuple[float, int, Demand]] = field(default_factory=list)

    @property
    def quota_share(self) -> float:
        """Returns the used share of the quota, 0 if there is none."""
        return self.running / self.quota if self.quota else 0

    def is_oversized(self, demand: Demand) -> bool:
        """Tells whether the task alone exceeds the quota."""
        if self.quota is None:
            return False
        return demand.resources.cpu_millicores > self.quota

    def fits_quota(self, demand: Demand) -> bool:
        """Tells whether the quota allows the task in addition to the running ones."""
        if self.quota is None:
            return True
        return self.running + demand.resources.cpu_millicores <= self.quota


class TaskQueue:
    """Waiting tasks by tenant; a tenant at its quota waits until a task ends.

    A task that alone exceeds its tenant's quota is set aside, so that it does not
    block the tenant's other tasks. `pop` costs O(log n); cancelled tasks are
    removed when they reach the head.

    Args:
        order: Order of the tasks, from `queue_orders`.
        quotas: Processors that the tasks of a tenant may reserve at a time, in
            millicores; a tenant without an entry has no limit.
    """

    def __init__(
        self, order: QueueOrder, quotas: Mapping[TenantName, int] | None = None
    ) -> None:
        self._order = order
        self._sequence = itertools.count()
        self._tenant_queues: dict[TenantName, _TenantQueue] = {}
        self._heads: list[tuple[float, int, int, TenantName]] = []
        self._sequence_by_task: dict[TaskId, int] = {}
        self._oversized: dict[TaskId, Demand] = {}
        for tenant, quota in (quotas or {}).items():
            self._tenant_queues[tenant] = _TenantQueue(quota)

    def __len__(self) -> int:
        """Returns the number of waiting tasks, excluding oversized ones."""
        return len(self._sequence_by_task)

    def push(self, demand: Demand) -> None:
        """Adds a task; a requeued one keeps its place, as its arrival does not change."""
        tenant_queue = self._tenant_queues.setdefault(demand.tenant, _TenantQueue())
        if tenant_queue.is_oversized(demand):
            self._oversized[demand.task_id] = demand
            return
        sequence = next(self._sequence)
        self._sequence_by_task[demand.task_id] = sequence
        entry = (self._order.key(demand, sequence), sequence, demand)
        heapq.heappush(tenant_queue.waiting, entry)
        if tenant_queue.waiting[0] is entry:
            self._update_head(demand.tenant, tenant_queue)

    def pop(self) -> Demand | None:
        """Removes the first task that its tenant's quota allows and charges the quota."""
        while self._heads:
            _, sequence, version, tenant = heapq.heappop(self._heads)
            tenant_queue = self._tenant_queues[tenant]
            if version != tenant_queue.version:
                continue
            self._drop_invalid_heads(tenant_queue)
            if not tenant_queue.waiting:
                continue
            demand = tenant_queue.waiting[0][2]
            if tenant_queue.waiting[0][1] != sequence:
                # The head in the heap was cancelled; the next one has a later key.
                self._update_head(tenant, tenant_queue)
            elif tenant_queue.fits_quota(demand):
                heapq.heappop(tenant_queue.waiting)
                self._sequence_by_task.pop(demand.task_id)
                self._charge(demand, demand.resources.cpu_millicores)
                return demand
        return None

    def remove(self, task_id: TaskId) -> bool:
        """Cancels a waiting task; returns whether it was waiting."""
        if self._oversized.pop(task_id, None) is not None:
            return True
        return self._sequence_by_task.pop(task_id, None) is not None

    def add_running(self, demand: Demand) -> None:
        """Charges a running task that was not popped, such as one from the journal."""
        self._charge(demand, demand.resources.cpu_millicores)

    def release_quota(self, demand: Demand) -> None:
        """Releases the quota of a task that ended or was not placed."""
        self._charge(demand, -demand.resources.cpu_millicores)

    def running(self, tenant: TenantName) -> int:
        """Returns the processors charged to the tenant, in millicores."""
        tenant_queue = self._tenant_queues.get(tenant)
        return tenant_queue.running if tenant_queue else 0

    def set_quota(self, tenant: TenantName, quota: int | None) -> None:
        """Changes a tenant's quota and requeues its oversized tasks."""
        tenant_queue = self._tenant_queues.setdefault(tenant, _TenantQueue())
        tenant_queue.quota = quota
        reconsidered = [
            demand for demand in self._oversized.values() if demand.tenant == tenant
        ]
        for demand in reconsidered:
            self._oversized.pop(demand.task_id)
            self.push(demand)
        self._update_head(tenant, tenant_queue)

    def oversized(self) -> tuple[Demand, ...]:
        """Returns the tasks that alone exceed their tenant's quota."""
        return tuple(self._oversized.values())

    def _charge(self, demand: Demand, millicores: int) -> None:
        tenant_queue = self._tenant_queues.setdefault(demand.tenant, _TenantQueue())
        tenant_queue.running += millicores
        self._update_head(demand.tenant, tenant_queue)

    def _drop_invalid_heads(self, tenant_queue: _TenantQueue) -> None:
        """Removes cancelled and oversized tasks from the head of a tenant's queue."""
        while tenant_queue.waiting:
            _, sequence, demand = tenant_queue.waiting[0]
            if self._sequence_by_task.get(demand.task_id) == sequence:
                if not tenant_queue.is_oversized(demand):
                    return
                # The quota was lowered while the task waited.
                self._sequence_by_task.pop(demand.task_id)
                self._oversized[demand.task_id] = demand
            heapq.heappop(tenant_queue.waiting)

    def _update_head(self, tenant: TenantName, tenant_queue: _TenantQueue) -> None:
        """Adds the current head of a tenant's queue; its former entry becomes outdated."""
        tenant_queue.version += 1
        if not tenant_queue.waiting:
            return
        if len(self._heads) > _MAX_HEADS_PER_TENANT * len(self._tenant_queues):
            self._drop_outdated()
        key, sequence, _ = tenant_queue.waiting[0]
        key += self._order.penalty(tenant_queue.quota_share)
        heapq.heappush(self._heads, (key, sequence, tenant_queue.version, tenant))

    def _drop_outdated(self) -> None:
        self._heads = [
            head
            for head in self._heads
            if head[2] == self._tenant_queues[head[3]].version
        ]
        heapq.heapify(self._heads)
