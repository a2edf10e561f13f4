"""Choice of zone and endpoint."""

from collections.abc import Collection, Sequence
from datetime import timedelta

from chiveworks.base import Clock, EntryName
from chiveworks.routing._endpoint import Endpoint
from chiveworks.routing._endpoint_table import EndpointTable
from chiveworks.routing._policy import RoutingPolicy

_MS = timedelta(milliseconds=1)
#: Load of a zone's free endpoints from which the next zone is compared by latency.
#: Other entry processes load them as well, so their queues start below full load.
_SPILL_LOAD = 0.5


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
        zones = self._table.zones(service)
        kept = _usable([endpoint for _, group in zones for endpoint in group], now)
        best: Endpoint | None = None
        best_cost = float('inf')
        for zone, group in zones:
            free = [one for one in group if one in kept and one.has_room(now)]
            fresh = [one for one in free if one not in excluded]
            chosen = self._policy.choose(fresh, now)
            if chosen is not None:
                cost = chosen.cost(now) + self._table.zone_latency(zone) / _MS
                if cost < best_cost:
                    best, best_cost = chosen, cost
                if _load(free) < _SPILL_LOAD:
                    break
        if best is None and excluded:
            return self.pick(service)
        return best


def _load(group: Sequence[Endpoint]) -> float:
    capacity = sum(endpoint.capacity for endpoint in group)
    return sum(endpoint.in_flight for endpoint in group) / max(capacity, 1)


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
