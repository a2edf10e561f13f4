"""Routing policy by the power of two choices."""

import random
from collections.abc import Callable, Sequence
from datetime import timedelta

from chiveworks.routing._endpoint import Endpoint
from chiveworks.routing._policy import ROUTING_POLICIES

#: Random draws before all endpoints are examined.
_MAX_DRAWS = 6


@ROUTING_POLICIES.register('two_choices')
class TwoChoices:
    """Draws two endpoints and chooses the one with the lower cost.

    Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001).
    """

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)  # noqa: S311 - not for secrets

    def choose(
        self,
        group: Sequence[Endpoint],
        accepts: Callable[[Endpoint], bool],
        now: timedelta,
    ) -> Endpoint | None:
        """Returns the cheaper of two accepted endpoints drawn at random."""
        if not group:
            return None
        drawn = self._draw(group, accepts)
        if len(drawn) < 2:
            accepted = [endpoint for endpoint in group if accepts(endpoint)]
            drawn = self._random.sample(accepted, min(len(accepted), 2))
        if len(drawn) < 2:
            return drawn[0] if drawn else None
        first, second = drawn
        return first if first.cost(now) <= second.cost(now) else second

    def _draw(
        self, group: Sequence[Endpoint], accepts: Callable[[Endpoint], bool]
    ) -> list[Endpoint]:
        drawn: list[Endpoint] = []
        for _ in range(_MAX_DRAWS):
            candidate = group[int(self._random.random() * len(group))]
            if candidate not in drawn and accepts(candidate):
                drawn.append(candidate)
                if len(drawn) == 2:
                    break
        return drawn
