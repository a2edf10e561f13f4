"""State of the decisions about near workers during a round of assignment."""

from collections.abc import Container, Sequence
from datetime import timedelta
from typing import Final

from chiveworks.base import Clock, RackName
from chiveworks.dispatch._near_refusals import NearKey, NearRefusals
from chiveworks.dispatch._near_room import NearRoom
from chiveworks.dispatch._near_wait_log import NearWaitLog
from chiveworks.dispatch._placer import Placer
from chiveworks.dispatch._run_lateness import RunLateness
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.locality import (
    REVIEW_INTERVAL,
    NearDecision,
    NearReason,
    NearRequest,
    NearSlot,
    NearWait,
)
from chiveworks.workflow import StepRun, StepSpec, Task

#: Longest time for which a task waits for a near worker although a remote one has room.
#: The users' rule on lost jobs allows a job to have no running task for 3 s at most while
#: less than half of the capacity is in use; the rest is for its start.
LONGEST_WAIT: Final = timedelta(seconds=2)
_FORECAST_REASONS = frozenset((NearReason.NO_PLACE, NearReason.TOO_LATE))


class NearRound:
    """Decides about single tasks and groups, and keeps the results of the round.

    Args:
        clock: Source of time.
        log: Event log for begun and ended waits.
        placer: Tells which workers accept tasks.
        lateness: Expected durations of runs.

    Attributes:
        now: Beginning of the round, for which all its decisions are made.
        room: Forecast of the room on near workers.
        waits: Waits that have begun in this round or earlier.
        deferred: Steps of which tasks wait although a remote worker has room, with the
            rack that they wait for.
        remote_reasons: Why tasks or groups do not wait, unless a near worker had room.
    """

    def __init__(
        self, clock: Clock, log: EventLog, placer: Placer, lateness: RunLateness
    ) -> None:
        self._clock = clock
        self._lateness = lateness
        self._near_wait = NearWait(lateness.remote_factor)
        self._refusals = NearRefusals()
        self.now = timedelta()
        self.room = NearRoom(lateness, placer.candidates)
        self.waits = NearWaitLog(clock, log)
        self.deferred: dict[StepRun, RackName] = {}
        self.remote_reasons: dict[Task | StepRun, NearReason] = {}

    def begin(self, *, continues: bool) -> None:
        """Begins a round; it `continues` if it tries the steps that the last one left."""
        self.now = self._clock.monotonic()
        self.room.begin_round(self.now, continues=continues)
        self._refusals.clear()
        self.deferred.clear()
        self.remote_reasons.clear()

    def end(self, ready: Container[StepRun]) -> None:
        """Ends the waits of tasks that no longer wait for a worker."""
        self.waits.retain(ready)

    def prefers_near(self, spec: StepSpec) -> bool:
        """Whether tasks of a step run longer on some workers than on others."""
        special = bool(spec.data_rack or spec.tightly_coupled)
        return special and not spec.fills and self._lateness.remote_factor > 1

    def may_gain(self, spec: StepSpec) -> bool:
        """Whether a near run is so much shorter that a wait may pay off."""
        gain = self._near_wait.gain(spec.estimate)
        return self.prefers_near(spec) and gain >= REVIEW_INTERVAL

    def latest_start(self, spec: StepSpec) -> timedelta:
        """Returns the latest near start that a task which is new here would wait for."""
        return self.now + self._near_wait.gain(spec.estimate)

    def refused(
        self, key: Task | StepRun, near_key: NearKey, run: StepRun, count: int
    ) -> bool:
        """Tells whether it is known without a forecast that a wait does not pay off."""
        is_refused = self._refusals.cover(near_key, run, count)
        if is_refused:
            self.remote_reasons[key] = NearReason.TOO_LATE
        return is_refused

    def refuse(
        self, near_key: NearKey, run: StepRun, count: int, decision: NearDecision
    ) -> None:
        """Takes note of a decision against a wait, if others can rely on it.

        They can if it follows from the forecast, not from the past or the deadline.
        """
        unlimited = decision.wait_until >= self.latest_start(run.spec)
        if unlimited and decision.reason in _FORECAST_REASONS:
            self._refusals.add(near_key, run, count)

    def decide(
        self,
        key: Task | StepRun,
        run: StepRun,
        workers: Sequence[WorkerView],
        slot: NearSlot | None,
        give_up_at: timedelta | None = None,
    ) -> NearDecision:
        """Decides about a task or a group that could start on remote workers.

        Args:
            key: The task, or the step run of the group.
            run: Step run of the tasks.
            workers: Remote workers on which they could start.
            slot: Next near slot; None if there is none.
            give_up_at: Time beyond which they must not wait, if that is before
                `LONGEST_WAIT` is over.
        """
        began_at = self.waits.began_at(key)
        limit = _waiting_since(key) + LONGEST_WAIT
        request = NearRequest(
            run.spec.estimate,
            self.now if began_at is None else began_at,
            run.job.latest_start(run.step, self._lateness.remote_factor),
            max(map(self._lateness.of, workers)),
            limit if give_up_at is None else min(limit, give_up_at),
        )
        decision = self._near_wait.decide(request, slot, self.now)
        if not decision.waits:
            self.remote_reasons[key] = decision.reason
        return decision

    def defer(
        self, key: Task | StepRun, run: StepRun, rack: RackName, decision: NearDecision
    ) -> None:
        """Records that a task or a group waits for a rack."""
        self.deferred[run] = rack
        self.waits.begin(key, run, rack, decision)


def _waiting_since(key: Task | StepRun) -> timedelta:
    waiting = [key] if isinstance(key, Task) else key.waiting()
    return min(task.waiting_since for task in waiting)
