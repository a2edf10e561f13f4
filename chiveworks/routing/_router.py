"""Choice of zone and endpoint."""

from collections.abc import Callable, Collection, Sequence
from datetime import timedelta

from chiveworks.base import Clock, EntryName
from chiveworks.routing._endpoint import Endpoint
from chiveworks.routing._endpoint_table import EndpointTable
from chiveworks.routing._policy import RoutingPolicy

_MS = timedelta(milliseconds=1)
#: Load of the chosen endpoint from which the next zone is compared by latency.
#: Other entry processes load it as well, so its queue starts below full load.
_SPILL_LOAD = 0.5
#: Below one ejected endpoint in four the floor of one half cannot be reached, unless
#: as many again are leaving; so all endpoints need not be looked at.
_FLOOR_MARGIN = 4


class Router:
    """Prefers the nearest zone and spills over before its endpoints queue."""

    def __init__(
        self, table: EndpointTable, policy: RoutingPolicy, clock: Clock
    ) -> None:
        self._table = table
        self._policy = policy
        self._clock = clock

    def pick(
        self, service: EntryName, excluded: Collection[Endpoint] = ()
    ) -> Endpoint | None:
        """Returns an endpoint with a free slot, or None when there is none.

        Args:
            service: Service to reach.
            excluded: Endpoints already tried; used again only as a last resort.
        """
        now = self._clock.monotonic()
        accepts = self._acceptance(service, excluded, now)
        best: Endpoint | None = None
        best_cost = float('inf')
        for zone, group in self._table.zones(service):
            chosen = self._policy.choose(group, accepts, now)
            if chosen is None:
                continue
            cost = chosen.cost(now) + self._table.zone_latency(zone) / _MS
            if cost < best_cost:
                best, best_cost = chosen, cost
            if chosen.in_flight < chosen.capacity * _SPILL_LOAD:
                break
        if best is None and excluded:
            return self.pick(service)
        return best

    def _acceptance(
        self, service: EntryName, excluded: Collection[Endpoint], now: timedelta
    ) -> Callable[[Endpoint], bool]:
        """Returns the condition on endpoints, which the policy applies.

        Policies look at a few endpoints only; a test of all of them took a fifth of
        the time of a request with 24 endpoints.
        """
        withheld = self._table.count_withheld(now)
        if not withheld:
            return lambda one: one.takes_work(now) and one not in excluded
        if withheld * _FLOOR_MARGIN <= self._table.count_listed(service):
            return lambda one: (
                not one.is_ejected(now) and one.takes_work(now) and one not in excluded
            )
        usable = _usable(self._table.endpoints(service), now)
        return lambda one: one in usable and one.takes_work(now) and one not in excluded


def _usable(group: Sequence[Endpoint], now: timedelta) -> set[Endpoint]:
    """Returns the endpoints that are not ejected, but at least half of them all.

    Endpoints that left since the ejections can shrink the group, so the floor is
    applied at the choice as well.
    """
    usable = {one for one in group if not one.is_ejected(now)}
    missing = (len(group) + 1) // 2 - len(usable)
    if missing > 0:
        ejected = [one for one in group if one not in usable]
        ejected.sort(key=lambda one: (one.probing, one.ejected_until))
        usable.update(ejected[:missing])
    return usable
