"""Tells refused clients when to come back."""

import random
from datetime import timedelta
from typing import Final

#: Shortest and longest time after which a client comes back. Clients give up after a few
#: attempts, so the longest must be well below their patience.
SHORTEST: Final = timedelta(seconds=1)
LONGEST: Final = timedelta(seconds=4)


class RetryAdvice:
    """Chooses the time of return from how long the store has been away.

    The load pattern that it answers: the store is away for seconds, all clients are
    refused meanwhile, and come back together. The longer an outage has lasted, the
    longer it is likely to go on, so the advised time grows with it and a client with few
    attempts outlasts it. Times are rounded to whole seconds at random, in proportion, so
    that clients that were refused together return at different times.
    """

    def retry_after_s(self, outage: timedelta) -> int:
        """Returns the time of return in whole seconds.

        Args:
            outage: Time since the store last answered.
        """
        expected = min(max(outage, SHORTEST), LONGEST)
        spread = expected.total_seconds() * random.uniform(1, 1.5)
        whole = int(spread)
        return whole + (random.random() < spread - whole)
