"""Interface and registry of routing policies."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Protocol

from chiveworks.base import Registry
from chiveworks.routing._endpoint import Endpoint


class RoutingPolicy(Protocol):
    """Chooses an endpoint within a zone."""

    def choose(
        self,
        group: Sequence[Endpoint],
        accepts: Callable[[Endpoint], bool],
        now: timedelta,
    ) -> Endpoint | None:
        """Returns an endpoint for which `accepts` is true, or None."""


ROUTING_POLICIES: Registry[RoutingPolicy] = Registry('routing policy')
