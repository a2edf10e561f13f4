"""Round-robin routing policy, a baseline for comparisons."""

from collections.abc import Callable, Sequence
from datetime import timedelta

from chiveworks.routing._endpoint import Endpoint
from chiveworks.routing._policy import ROUTING_POLICIES


@ROUTING_POLICIES.register('round_robin')
class RoundRobin:
    """Chooses the endpoints in turn, regardless of their load."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self,
        group: Sequence[Endpoint],
        accepts: Callable[[Endpoint], bool],
        now: timedelta,
    ) -> Endpoint | None:
        """Returns the next accepted endpoint in turn."""
        for _ in group:
            self._turn += 1
            candidate = group[self._turn % len(group)]
            if accepts(candidate):
                return candidate
        return None
