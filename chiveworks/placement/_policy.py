"""Interface and registry of placement policies."""

from collections.abc import Iterable
from typing import Protocol

from chiveworks.base import Registry, WorkerId
from chiveworks.placement._candidate import Candidate
from chiveworks.placement._demand import Demand


class PlacementPolicy(Protocol):
    """Chooses the worker of a task."""

    def choose(
        self, demand: Demand, candidates: Iterable[Candidate]
    ) -> WorkerId | None:
        """Returns a worker with enough free resources, or None if the task must wait."""


#: Policies by the name used in settings.
placement_policies: Registry[PlacementPolicy] = Registry('placement policy')
