"""Policy that protects services from batch tasks on the same worker."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import Clock, TaskId, WorkerId
from chiveworks.placement._pressure import Neighbour, WorkerPressure
from chiveworks.placement._protection_action import ActionType, ProtectionAction
from chiveworks.placement._protection_settings import ProtectionSettings

_MINUTE = timedelta(minutes=1)


@dataclass
class _WorkerState:
    """Since when the latency ratio is too high or low, and the last action's time."""

    over_since: timedelta | None = None
    under_since: timedelta | None = None
    last_action_at: timedelta | None = None


class ProtectionPolicy:
    """Throttles batch tasks stepwise, evicts as a last resort and relaxes slowly.

    Args:
        clock: Source of monotonic time.
        settings: Thresholds and limits.
    """

    def __init__(
        self, clock: Clock, settings: ProtectionSettings | None = None
    ) -> None:
        self.clock = clock
        self.settings = settings or ProtectionSettings()
        self._states: dict[WorkerId, _WorkerState] = {}
        self._evicted_at: dict[TaskId, timedelta] = {}
        self._recent_evictions: deque[timedelta] = deque()

    def decide(self, pressure: WorkerPressure) -> ProtectionAction | None:
        """Returns the next action on a worker, or None if nothing is to be done.

        To be called after each measurement of the worker's latency; there is at
        most one action per `step_interval`.
        """
        now = self.clock.monotonic()
        state = self._states.setdefault(pressure.worker_id, _WorkerState())
        self._record_ratio(state, pressure.latency_ratio, now)
        if state.last_action_at is not None:
            if now - state.last_action_at < self.settings.step_interval:
                return None
        action = self._next_action(state, pressure, now)
        if action is not None:
            state.last_action_at = now
        return action

    def forget(self, worker_id: WorkerId) -> None:
        """Removes the state of a worker that has left."""
        self._states.pop(worker_id, None)

    def _record_ratio(self, state: _WorkerState, ratio: float, now: timedelta) -> None:
        is_over = ratio > self.settings.upper_ratio
        is_under = ratio < self.settings.lower_ratio
        state.over_since = _since(is_over, state.over_since, now)
        state.under_since = _since(is_under, state.under_since, now)

    def _next_action(
        self, state: _WorkerState, pressure: WorkerPressure, now: timedelta
    ) -> ProtectionAction | None:
        if state.over_since is not None:
            over_for = now - state.over_since
            if over_for < self.settings.throttle_after:
                return None
            return self._throttle(pressure) or self._evict(pressure, over_for, now)
        if state.under_since is not None:
            if now - state.under_since >= self.settings.relax_after:
                return self._relax(pressure)
        return None

    def _throttle(self, pressure: WorkerPressure) -> ProtectionAction | None:
        throttleable = [
            task
            for task in pressure.neighbours
            if task.harm > 0 and task.share > self.settings.min_share
        ]
        if not throttleable:
            return None
        worst = max(
            throttleable,
            key=lambda task: (not task.deadline_at_risk, task.harm * task.share),
        )
        share = max(worst.share / 2, self.settings.min_share)
        return _throttle_to(pressure.worker_id, worst, share)

    def _relax(self, pressure: WorkerPressure) -> ProtectionAction | None:
        throttled = [task for task in pressure.neighbours if task.share < 1]
        if not throttled:
            return None
        mildest = min(throttled, key=lambda task: task.harm)
        return _throttle_to(pressure.worker_id, mildest, min(mildest.share * 2, 1))

    def _evict(
        self, pressure: WorkerPressure, over_for: timedelta, now: timedelta
    ) -> ProtectionAction | None:
        self._drop_old_evictions(now)
        if over_for < self.settings.evict_after:
            return None
        if len(self._recent_evictions) >= self.settings.evictions_per_minute:
            return None
        victims = [
            task
            for task in pressure.neighbours
            if task.evictable and task.harm > 0 and task.task_id not in self._evicted_at
        ]
        if not victims:
            return None
        victim = min(victims, key=lambda task: (task.lost_work, -task.harm))
        self._evicted_at[victim.task_id] = now
        self._recent_evictions.append(now)
        return ProtectionAction(
            ActionType.EVICT, pressure.worker_id, victim.task_id, share=0
        )

    def _drop_old_evictions(self, now: timedelta) -> None:
        while self._recent_evictions and now - self._recent_evictions[0] >= _MINUTE:
            self._recent_evictions.popleft()
        # Entries are in insertion order, so the oldest come first.
        while self._evicted_at:
            task_id, at = next(iter(self._evicted_at.items()))
            if now - at < self.settings.evict_period:
                return
            self._evicted_at.pop(task_id)


def _since(
    condition: bool, since: timedelta | None, now: timedelta
) -> timedelta | None:
    if not condition:
        return None
    return now if since is None else since


def _throttle_to(
    worker_id: WorkerId, task: Neighbour, share: float
) -> ProtectionAction:
    return ProtectionAction(ActionType.THROTTLE, worker_id, task.task_id, share)
