"""Expected room on a near worker."""

from bisect import insort
from collections.abc import Iterable
from datetime import timedelta

from chiveworks.base import Resources
from chiveworks.locality._near_slot import NearSlot
from chiveworks.locality._release import Release

_NO_TIME = timedelta()


class NearPlace:
    """Room on a worker, now and when its runs are expected to end.

    Args:
        free: Free resources; negative amounts are allowed.
        releases: Expected releases; runs that never end have none.
        lateness: Duration of runs on the worker as a multiple of what was expected.
    """

    def __init__(
        self, free: Resources, releases: Iterable[Release], lateness: float = 1.0
    ) -> None:
        self._free = free
        self._releases = sorted(releases, key=_ends_at)
        self.lateness = lateness

    def copy(self) -> 'NearPlace':
        """Returns an independent copy."""
        return NearPlace(self._free, self._releases, self.lateness)

    def change_free(self, change: Resources) -> None:
        """Adds an amount to the free resources, which may be negative."""
        self._free += change

    def earliest(
        self, demand: Resources, duration: timedelta, now: timedelta
    ) -> NearSlot | None:
        """Returns the earliest start of a task; None if it never fits."""
        free = self._free
        cpu, memory = free.cpu_millicores, free.memory_bytes
        accelerators = free.accelerators
        starts_at, spread = now, _NO_TIME
        releases = iter(self._releases)
        while (
            cpu < demand.cpu_millicores
            or memory < demand.memory_bytes
            or accelerators < demand.accelerators
        ):
            release = next(releases, None)
            if release is None:
                return None
            starts_at, spread = max(now, release.ends_at), release.spread
            cpu += release.freed.cpu_millicores
            memory += release.freed.memory_bytes
            accelerators += release.freed.accelerators
        return NearSlot(starts_at, spread, starts_at + duration * self.lateness)

    def book(self, demand: Resources, slot: NearSlot, *, frees: bool) -> None:
        """Counts a task that takes a slot, and its release at the end if it `frees`.

        The room counts as occupied from now on: whoever waits behind does not get it
        earlier.
        """
        self._free -= demand
        if frees:
            insort(
                self._releases, Release(slot.ends_at, slot.spread, demand), key=_ends_at
            )


def _ends_at(release: Release) -> timedelta:
    return release.ends_at
