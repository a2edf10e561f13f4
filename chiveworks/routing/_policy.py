"""Interchangeable choice of an endpoint within a zone."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

from chiveworks.base import Registry
from chiveworks.routing._endpoint import Endpoint


class RoutingPolicy(Protocol):
    """Chooses among endpoints that have room."""

    def choose(self, candidates: Sequence[Endpoint], now: timedelta) -> Endpoint | None:
        """Returns one of the candidates, or None when there are none."""


ROUTING_POLICIES: Registry[RoutingPolicy] = Registry('routing policy')
