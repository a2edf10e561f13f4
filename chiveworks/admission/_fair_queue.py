"""Weighted fair queue of requests that wait for admission."""

import asyncio
import heapq
import itertools
from collections import Counter
from dataclasses import dataclass, field

from chiveworks.admission._admission_request import AdmissionRequest
from chiveworks.base import TenantName


@dataclass(order=True, slots=True)
class Waiter:
    """A waiting request, ordered by its virtual finish time.

    Attributes:
        finish: Virtual finish time.
        order: Order of arrival, for equal finish times.
        request: The request.
        admitted: Done when the request is admitted, cancelled when it gives up.
    """

    finish: float
    order: int
    request: AdmissionRequest = field(compare=False)
    admitted: 'asyncio.Future[None]' = field(compare=False)


class FairQueue:
    """Bounded queue for each tenant, served in proportion to the weights.

    Self-clocked fair queuing (Golestani, 1994): each request gets a virtual
    finish time that advances by 1 / weight per request of its tenant, and the
    lowest goes first. A tenant that floods its queue delays only its own requests.
    """

    def __init__(self, max_length: int) -> None:
        self._max_length = max_length
        self._heap: list[Waiter] = []
        self._lengths: Counter[TenantName] = Counter()
        self._last_finish: dict[TenantName, float] = {}
        self._virtual_time = float(0)
        self._order = itertools.count()

    def __len__(self) -> int:
        return sum(self._lengths.values())

    def push(self, request: AdmissionRequest, weight: float) -> Waiter | None:
        """Adds a request to its tenant's queue; returns None if the queue is full."""
        tenant = request.tenant
        if self._lengths[tenant] >= self._max_length:
            return None
        start = max(self._virtual_time, self._last_finish.get(tenant, 0))
        admitted = asyncio.get_running_loop().create_future()
        waiter = Waiter(start + 1 / weight, next(self._order), request, admitted)
        self._last_finish[tenant] = waiter.finish
        self._lengths[tenant] += 1
        heapq.heappush(self._heap, waiter)
        return waiter

    def pop(self) -> Waiter | None:
        """Removes and returns the next request, or None if no request waits."""
        while self._heap:
            waiter = heapq.heappop(self._heap)
            if not waiter.admitted.done():
                self._virtual_time = max(self._virtual_time, waiter.finish)
                self._decrement_length(waiter.request.tenant)
                return waiter
        return None

    def cancel(self, waiter: Waiter) -> None:
        """Removes a request if it is still in the queue."""
        if not waiter.admitted.done():
            waiter.admitted.cancel()
            self._decrement_length(waiter.request.tenant)

    def _decrement_length(self, tenant: TenantName) -> None:
        self._lengths[tenant] -= 1
        if not self._lengths[tenant]:
            self._lengths.pop(tenant)
        if not self._lengths:
            # No request waits, so the virtual time can restart; this also bounds
            # the size of the map.
            self._last_finish.clear()
            self._virtual_time = 0
