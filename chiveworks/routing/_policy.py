"""Interchangeable choice of an endpoint within a zone."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Protocol

from chiveworks.base import Registry
from chiveworks.routing._endpoint import Endpoint


class RoutingPolicy(Protocol):
    """Chooses among the endpoints of a zone."""

    def choose(
        self,
        group: Sequence[Endpoint],
        accepts: Callable[[Endpoint], bool],
        now: timedelta,
    ) -> Endpoint | None:
        """Returns an endpoint that is accepted, or None when none is."""


ROUTING_POLICIES: Registry[RoutingPolicy] = Registry('routing policy')
