"""Queue of batch work, ordered by a registered key."""

import heapq
import itertools
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from chiveworks.base import Registry, TaskId, TenantName
from chiveworks.placement._demand import Demand


class QueueOrder(Protocol):
    """Decides which of two waiting tasks comes first."""

    def key(self, demand: Demand, sequence: int) -> float:
        """Returns the fixed sort key of a task; lower comes first."""

    def penalty(self, quota_share: float) -> float:
        """Returns what a team's used share of its quota adds to its keys."""


#: Orders by the name used in settings.
queue_orders: Registry[QueueOrder] = Registry('queue order')


#: Outdated heads are dropped when there are so many entries for each team, so
#: that teams at their quota do not make the list grow without bound.
_OUTDATED_PER_LANE = 8


@dataclass
class _Lane:
    """One team's waiting tasks and running processors."""

    quota: int | None = None
    running: int = 0
    #: Raised when the lane's entry among the heads becomes outdated.
    version: int = 0
    waiting: list[tuple[float, int, Demand]] = field(default_factory=list)

    @property
    def quota_share(self) -> float:
        """Returns the used share of the quota, 0 without one."""
        return self.running / self.quota if self.quota else 0

    def is_oversized(self, demand: Demand) -> bool:
        """Tells whether the task alone exceeds the quota."""
        if self.quota is None:
            return False
        return demand.resources.cpu_millicores > self.quota

    def has_room(self, demand: Demand) -> bool:
        """Tells whether the quota allows the task beside the running ones."""
        if self.quota is None:
            return True
        return self.running + demand.resources.cpu_millicores <= self.quota


class TaskQueue:
    """Waiting tasks by team; a team at its quota waits until a task ends.

    A task that alone exceeds its team's quota is set aside, so that it does
    not hold up the team's other work. `pop` costs O(log n); cancelled tasks
    are dropped when they reach the head.

    Args:
        order: Order of the tasks, from `queue_orders`.
        quotas: Processors by team in millicores; a team without an entry has
            no limit.
    """

    def __init__(
        self, order: QueueOrder, quotas: Mapping[TenantName, int] | None = None
    ) -> None:
        self._order = order
        self._sequence = itertools.count()
        self._lanes: dict[TenantName, _Lane] = {}
        self._heads: list[tuple[float, int, int, TenantName]] = []
        self._entries: dict[TaskId, int] = {}
        self._oversized: dict[TaskId, Demand] = {}
        for tenant, quota in (quotas or {}).items():
            self._lanes[tenant] = _Lane(quota)

    def __len__(self) -> int:
        """Returns the number of waiting tasks, without oversized ones."""
        return len(self._entries)

    def push(self, demand: Demand) -> None:
        """Adds a task; one pushed back keeps its place by its arrival."""
        lane = self._lanes.setdefault(demand.tenant, _Lane())
        if lane.is_oversized(demand):
            self._oversized[demand.task_id] = demand
            return
        sequence = next(self._sequence)
        self._entries[demand.task_id] = sequence
        entry = (self._order.key(demand, sequence), sequence, demand)
        heapq.heappush(lane.waiting, entry)
        if lane.waiting[0] is entry:
            self._refresh(demand.tenant, lane)

    def pop(self) -> Demand | None:
        """Removes the first task whose team's quota allows it and counts it there."""
        while self._heads:
            _, sequence, version, tenant = heapq.heappop(self._heads)
            lane = self._lanes[tenant]
            if version != lane.version:
                continue
            self._drop_unfit(lane)
            if not lane.waiting:
                continue
            demand = lane.waiting[0][2]
            if lane.waiting[0][1] != sequence:
                # The listed head was cancelled; the next one has a later key.
                self._refresh(tenant, lane)
            elif lane.has_room(demand):
                heapq.heappop(lane.waiting)
                self._entries.pop(demand.task_id)
                self._charge(demand, demand.resources.cpu_millicores)
                return demand
        return None

    def remove(self, task_id: TaskId) -> bool:
        """Cancels a waiting task; returns whether it was waiting."""
        if self._oversized.pop(task_id, None) is not None:
            return True
        return self._entries.pop(task_id, None) is not None

    def add_running(self, demand: Demand) -> None:
        """Counts a task that runs without having been popped, as after a replay."""
        self._charge(demand, demand.resources.cpu_millicores)

    def release_quota(self, demand: Demand) -> None:
        """Returns a popped task's share of its quota: it ended or was not placed."""
        self._charge(demand, -demand.resources.cpu_millicores)

    def running(self, tenant: TenantName) -> int:
        """Returns the team's running processors in millicores."""
        lane = self._lanes.get(tenant)
        return lane.running if lane else 0

    def set_quota(self, tenant: TenantName, quota: int | None) -> None:
        """Changes a team's quota and reconsiders its oversized tasks."""
        lane = self._lanes.setdefault(tenant, _Lane())
        lane.quota = quota
        reconsidered = [
            demand for demand in self._oversized.values() if demand.tenant == tenant
        ]
        for demand in reconsidered:
            self._oversized.pop(demand.task_id)
            self.push(demand)
        self._refresh(tenant, lane)

    def oversized(self) -> tuple[Demand, ...]:
        """Returns the tasks that alone exceed their team's quota."""
        return tuple(self._oversized.values())

    def _charge(self, demand: Demand, millicores: int) -> None:
        lane = self._lanes.setdefault(demand.tenant, _Lane())
        lane.running += millicores
        self._refresh(demand.tenant, lane)

    def _drop_unfit(self, lane: _Lane) -> None:
        """Removes cancelled and oversized tasks from the lane's head."""
        while lane.waiting:
            _, sequence, demand = lane.waiting[0]
            if self._entries.get(demand.task_id) == sequence:
                if not lane.is_oversized(demand):
                    return
                # The quota was lowered while the task waited.
                self._entries.pop(demand.task_id)
                self._oversized[demand.task_id] = demand
            heapq.heappop(lane.waiting)

    def _refresh(self, tenant: TenantName, lane: _Lane) -> None:
        """Lists the lane's head anew; its former entry becomes outdated."""
        lane.version += 1
        if not lane.waiting:
            return
        if len(self._heads) > _OUTDATED_PER_LANE * len(self._lanes):
            self._drop_outdated()
        key, sequence, _ = lane.waiting[0]
        key += self._order.penalty(lane.quota_share)
        heapq.heappush(self._heads, (key, sequence, lane.version, tenant))

    def _drop_outdated(self) -> None:
        self._heads = [
            head for head in self._heads if head[2] == self._lanes[head[3]].version
        ]
        heapq.heapify(self._heads)
