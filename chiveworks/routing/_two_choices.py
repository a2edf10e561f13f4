"""Power of two choices."""

import random
from collections.abc import Sequence
from datetime import timedelta

from chiveworks.routing._endpoint import Endpoint
from chiveworks.routing._policy import ROUTING_POLICIES


@ROUTING_POLICIES.register('two_choices')
class TwoChoices:
    """Draws two candidates and takes the one with the lower expected latency.

    Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001).
    """

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)  # noqa: S311 - not for secrets

    def choose(self, candidates: Sequence[Endpoint], now: timedelta) -> Endpoint | None:
        """Returns the better of two candidates drawn at random."""
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        first, second = self._random.sample(candidates, 2)
        return first if first.cost(now) <= second.cost(now) else second
