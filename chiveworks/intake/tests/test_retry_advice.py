"""Replays an outage of the store: clients are refused, and come back when told."""

import heapq
import random
from datetime import timedelta

import pytest

from chiveworks.intake._retry_advice import LONGEST, RetryAdvice

CLIENTS = 400
#: Attempts of a client, the first one included.
ATTEMPTS = 5
#: Jobs that the store accepts in a tenth of a second.
RATE = 8
SLOT_S = 0.1


def constant(_outage):
    return 1


def advised(outage):
    return RetryAdvice().retry_after_s(outage)


def replay(outage_s, retry_after_s):
    """Returns the share of clients served, and the requests for each served job.

    Clients arrive evenly over the outage. After it, the store accepts `RATE` jobs in each
    tenth of a second and refuses the others.
    """
    random.seed(7)
    arrivals = [(random.uniform(0, outage_s), 1) for _ in range(CLIENTS)]
    heapq.heapify(arrivals)
    accepted = {}
    served = requests = 0
    while arrivals:
        now, attempt = heapq.heappop(arrivals)
        requests += 1
        slot = int(now / SLOT_S)
        if now >= outage_s and accepted.get(slot, 0) < RATE:
            accepted[slot] = accepted.get(slot, 0) + 1
            served += 1
        elif attempt < ATTEMPTS:
            outage = timedelta(seconds=now if now < outage_s else 0)
            heapq.heappush(arrivals, (now + retry_after_s(outage), attempt + 1))
    return served / CLIENTS, requests / max(served, 1)


@pytest.mark.parametrize('outage_s', [3.5, 4.5, 7, 9])
def test_more_clients_outlast_an_outage_with_fewer_requests(outage_s):
    """Guards against clients that use up their attempts while the store is away."""
    served_before, requests_before = replay(outage_s, constant)
    served, requests = replay(outage_s, advised)
    assert served >= served_before
    assert requests <= requests_before
    assert served >= 0.9


def test_clients_that_are_refused_together_return_at_different_times():
    """Guards against a second wave as high as the first."""
    returns = [advised(timedelta(seconds=2)) for _ in range(200)]
    assert set(returns) == {2, 3}


def test_the_advised_time_is_bounded():
    """Guards against clients that are sent away for good after a long outage."""
    returns = [advised(timedelta(hours=1)) for _ in range(200)]
    assert max(returns) <= 1.5 * LONGEST.total_seconds()
    assert min(advised(timedelta()) for _ in range(50)) == 1
