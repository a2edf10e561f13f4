"""Waits of groups for a rack that has room for all of their tasks."""

from collections.abc import Sequence
from typing import Final

from chiveworks.base import RackName
from chiveworks.dispatch._near_refusals import NearKey
from chiveworks.dispatch._near_room import near_workers
from chiveworks.dispatch._near_round import NearRound
from chiveworks.dispatch._placer import Placer
from chiveworks.dispatch._worker_view import WorkerView
from chiveworks.locality import NearReason, NearSlot, NearSlots
from chiveworks.workflow import StepRun, StepSpec

#: Maximum number of racks that are compared for a group, those with most room first. A
#: forecast for 400 workers takes 10 ms.
MAX_RACKS: Final = 4
#: Largest number of tasks of a group that waits. The claims that it could make elsewhere
#: are tried in each round, and the claims of a gang of 2,500 members take 0.84 s.
MAX_TASKS: Final = 200


class NearGroups:
    """Decides about tightly coupled steps, and gangs with a data rack, as a whole.

    Args:
        current: State of the round.
        placer: Tells which workers tasks are claimed for.
    """

    def __init__(self, current: NearRound, placer: Placer) -> None:
        self._current = current
        self._placer = placer

    def include(self, spec: StepSpec) -> bool:
        """Whether one wait is decided on for all tasks of a step."""
        if spec.count > MAX_TASKS or not forms_group(spec):
            return False
        return self._current.may_gain(spec)

    def near_racks(
        self, run: StepRun, candidates: Sequence[WorkerView]
    ) -> list[list[WorkerView]]:
        """Returns the workers by rack, for the racks that are near for a group."""
        near = {
            worker.info.rack
            for task in run.tasks
            if task.active and (worker := self._placer.worker_of(task)) is not None
        }
        if run.spec.data_rack:
            near.add(run.spec.data_rack)
        if len(near) > 1:
            self._current.remote_reasons[run] = NearReason.SPREAD
            return []
        racks: dict[RackName, list[WorkerView]] = {}
        for worker in candidates:
            if not near or worker.info.rack in near:
                racks.setdefault(worker.info.rack, []).append(worker)
        return list(racks.values())

    def may_wait(
        self,
        run: StepRun,
        workers: Sequence[WorkerView],
        racks: Sequence[list[WorkerView]],
    ) -> bool:
        """Tells whether a group may wait rather than take workers of several racks.

        Args:
            run: Step run of the group.
            workers: Workers of any rack that have room for its tasks.
            racks: Racks that are near for the group.
        """
        used = {worker.info.rack for worker in workers}
        if not used or run in self._current.remote_reasons:
            return False
        if run.spec.long_running:
            self._current.remote_reasons[run] = NearReason.LASTING
            return False
        return len(used) > 1 or used.isdisjoint(rack[0].info.rack for rack in racks)

    def rack_to_wait_for(
        self,
        run: StepRun,
        count: int,
        workers: Sequence[WorkerView],
        racks: Sequence[list[WorkerView]],
    ) -> list[WorkerView]:
        """Returns the rack that a group waits for; empty if it takes the workers.

        Args:
            run: Step run of the group.
            count: Number of its tasks that have no worker.
            workers: Workers of any rack that have room for its tasks.
            racks: Racks that are near for the group, none of which has room for all;
                those with most room first.
        """
        key = NearKey(workers[0].info.service, RackName(''), run.spec.gang)
        if self._current.refused(run, key, run, count):
            return []
        slot, rack = self._earliest_rack(run, count, key.service, racks)
        decision = self._current.decide(run, run, workers, slot)
        if decision.waits:
            self._current.defer(run, run, rack[0].info.rack, decision)
            return rack
        if count == run.spec.count and not run.spec.data_rack:
            # All racks were near, as for any other group.
            self._current.refuse(key, run, count, decision)
        return []

    def _earliest_rack(
        self,
        run: StepRun,
        count: int,
        service: str,
        racks: Sequence[list[WorkerView]],
    ) -> tuple[NearSlot | None, list[WorkerView]]:
        """Returns the rack on which a group is expected to end first."""
        best_slot: NearSlot | None = None
        best_rack: list[WorkerView] = []
        for rack in racks[:MAX_RACKS]:
            near = near_workers(run, rack[0].info.rack, rack)
            slots = self._current.room.slots(run, service, near, idle=True)
            slot = self._last_slot(slots, run, count)
            if slot and (best_slot is None or slot.ends_at < best_slot.ends_at):
                best_slot, best_rack = slot, rack
        return best_slot, best_rack

    def _last_slot(self, slots: NearSlots, run: StepRun, count: int) -> NearSlot | None:
        """Returns the slot of the last task of a group; None if it comes too late.

        A group that does not start although there seems to be room now is kept back by
        something else, which a wait may not change.
        """
        latest = self._current.latest_start(run.spec)
        last: NearSlot | None = None
        for _ in range(count):
            slot = slots.book()
            if slot is None or slot.starts_at > latest:
                return None
            if last is None or slot.ends_at > last.ends_at:
                last = slot
        return last if last and last.starts_at > self._current.now else None


def forms_group(spec: StepSpec) -> bool:
    """Whether the tasks of a step have one near rack together."""
    return spec.tightly_coupled or bool(spec.gang and spec.data_rack)
