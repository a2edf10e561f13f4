"""Slots on the near workers for equal tasks, in the order of their expected ends."""

import heapq
from collections import Counter
from collections.abc import Sequence
from datetime import timedelta

from chiveworks.base import Resources
from chiveworks.locality._near_place import NearPlace
from chiveworks.locality._near_slot import NearSlot


class NearSlots:
    """Next slots for the tasks of one step; the places themselves are not changed.

    Args:
        places: Near workers, with the tasks ahead already booked.
        demand: Resources of each task.
        duration: Expected duration of a near run.
        now: Current time.
        idle: Whether places with enough room now count. They don't if the tasks could
            not be placed there for another reason, such as a limit per worker.
        frees: Whether a booked task frees its resources at its expected end; members of
            a gang need their room at the same time.
        place_limit: Maximum number of booked tasks on one place; 0 if unlimited.
    """

    def __init__(
        self,
        places: Sequence[NearPlace],
        demand: Resources,
        duration: timedelta,
        now: timedelta,
        *,
        idle: bool = False,
        frees: bool = True,
        place_limit: int = 0,
    ) -> None:
        self._places = list(places)
        self._demand = demand
        self._duration = duration
        self._now = now
        self._frees = frees
        self._place_limit = place_limit
        self._booked: Counter[int] = Counter()
        self._heap: list[tuple[timedelta, int, NearSlot]] = []
        for index, place in enumerate(self._places):
            self._offer(index, place, idle=idle)

    def earliest(self) -> NearSlot | None:
        """Returns the slot with the earliest expected end; None if there is none."""
        return self._heap[0][2] if self._heap else None

    def book(self) -> NearSlot | None:
        """Takes the earliest slot and returns it."""
        if not self._heap:
            return None
        _, index, slot = heapq.heappop(self._heap)
        if not self._booked[index]:
            self._places[index] = self._places[index].copy()
        self._booked[index] += 1
        place = self._places[index]
        place.book(self._demand, slot, frees=self._frees)
        if self._booked[index] != self._place_limit:
            self._offer(index, place, idle=True)
        return slot

    def places(self) -> list[NearPlace]:
        """Returns the places with all bookings so far."""
        return self._places

    def _offer(self, index: int, place: NearPlace, *, idle: bool) -> None:
        slot = place.earliest(self._demand, self._duration, self._now)
        if slot is not None and (idle or slot.starts_at > self._now):
            heapq.heappush(self._heap, (slot.ends_at, index, slot))
