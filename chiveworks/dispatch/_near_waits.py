"""Waits of tasks for workers near their data or their group."""

from collections.abc import Container, Sequence
from datetime import timedelta
from typing import Final

from chiveworks.base import Clock
from chiveworks.dispatch._near_groups import NearGroups, forms_group
from chiveworks.dispatch._near_refusals import NearKey
from chiveworks.dispatch._near_room import near_workers
from chiveworks.dispatch._near_round import NearRound
from chiveworks.dispatch._placer import Placer
from chiveworks.dispatch._run_lateness import RunLateness
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.events import EventLog
from chiveworks.locality import NearReason, NearSlots
from chiveworks.workflow import StepRun, Task

#: Longest wait of a lasting task for the rack of its data. The users' rule on lost jobs
#: allows a lasting task to be without a run for 3 s at most while there is room.
LASTING_WAIT: Final = timedelta(seconds=1)
_MILLISECOND: Final = timedelta(milliseconds=1)


class NearWaits:
    """Decides during a round which tasks wait although a remote worker has room.

    Tasks with a data rack are decided on one by one, so that a wide step may be split.

    Args:
        clock: Source of time.
        log: Event log for begun and ended waits.
        placer: Tells which workers accept tasks.
        lateness: Expected durations of runs.

    Attributes:
        groups: Decides about steps whose tasks must be near each other.
    """

    def __init__(
        self, clock: Clock, log: EventLog, placer: Placer, lateness: RunLateness
    ) -> None:
        self._current = NearRound(clock, log, placer, lateness)
        self._slots: dict[StepRun, tuple[list[WorkerView], NearSlots]] = {}
        self.groups = NearGroups(self._current, placer)

    def begin_round(self, *, continues: bool) -> None:
        """Begins a round; it `continues` if it tries the steps that the last one left."""
        self._current.begin(continues=continues)
        self._slots.clear()

    def end_round(self, ready: Container[StepRun]) -> None:
        """Ends the waits of tasks that no longer wait for a worker."""
        self._current.end(ready)

    def defers(
        self, task: Task, worker: WorkerView, candidates: Sequence[WorkerView]
    ) -> bool:
        """Tells whether a task waits for its rack instead of taking a worker.

        Call it only if no better worker can take the task now.
        """
        run, spec = task.step_run, task.spec
        rack = spec.data_rack
        if rack in {'', worker.info.rack} or forms_group(spec):
            return False
        if not self._current.may_gain(spec) or task in self._current.remote_reasons:
            return False
        key = NearKey(worker.info.service, rack)
        if self._current.refused(task, key, run, 1):
            return False
        if run not in self._slots:
            near = near_workers(run, rack, candidates)
            slots = self._current.room.slots(run, key.service, near)
            self._slots[run] = (near, slots)
        _, slots = self._slots[run]
        give_up_at = task.waiting_since + LASTING_WAIT if spec.long_running else None
        decision = self._current.decide(
            task, run, (worker,), slots.earliest(), give_up_at
        )
        if decision.waits:
            slots.book()
            self._current.defer(task, run, rack, decision)
        else:
            self._current.refuse(key, run, 1, decision)
        return decision.waits

    def leave(self, run: StepRun, service: str) -> bool:
        """Counts the tasks that a step has left waiting ahead of the following steps.

        Returns:
            Whether any of them waits for a near worker although a remote one has room.
        """
        rack = self._current.deferred.get(run, run.spec.data_rack)
        if run in self._slots:
            # Its tasks that wait have slots. If it also found no room elsewhere, some
            # are not counted, and the following steps of this size find none either.
            # A step that comes again in the round, for the tasks beyond its account's
            # share, gets a new forecast.
            self._current.room.book(*self._slots.pop(run))
        elif rack and self._current.prefers_near(run.spec):
            self._current.room.add_ahead(run, service, rack)
        return run in self._current.deferred

    def note_retry(self, key: Task | StepRun) -> None:
        """Records that a task or a group starts anywhere, without a wait."""
        self._current.remote_reasons[key] = NearReason.RETRY

    def claim_fields(self, task: Task, worker: WorkerView | None) -> dict[str, object]:
        """Returns log fields about a claim, and ends the wait before it, if any."""
        run, spec = task.step_run, task.spec
        if worker is None or not self._current.prefers_near(spec):
            return {}
        is_group = forms_group(spec)
        key: Task | StepRun = run if is_group else task
        remote = self._current.remote_reasons.get(key)
        is_near = remote is None if is_group else spec.data_rack == worker.info.rack
        reason = NearReason.NEAR if is_near else remote or NearReason.NO_GAIN
        fields: dict[str, object] = {'near': is_near, 'near_reason': reason.value}
        waits = self._current.waits
        began_at = waits.began_at(key)
        if began_at is not None:
            fields['near_wait_ms'] = (self._current.now - began_at) // _MILLISECOND
            if not (is_group and run in self._current.deferred):
                waits.end(key, 'paid_off' if is_near else 'abandoned', reason)
        return fields
