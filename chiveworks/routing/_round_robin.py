"""Endpoints in turn, as a baseline."""

from collections.abc import Sequence
from datetime import timedelta

from chiveworks.routing._endpoint import Endpoint
from chiveworks.routing._policy import ROUTING_POLICIES


@ROUTING_POLICIES.register('round_robin')
class RoundRobin:
    """Takes the candidates in turn, whatever their load."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(self, candidates: Sequence[Endpoint], now: timedelta) -> Endpoint | None:
        """Returns the next candidate in turn."""
        if not candidates:
            return None
        self._turn += 1
        return candidates[self._turn % len(candidates)]
