"""Selection of the zone and endpoint of a request."""

from collections.abc import Callable, Collection, Sequence
from datetime import timedelta

from chiveworks.base import Clock, EntryName
from chiveworks.routing._endpoint import Endpoint
from chiveworks.routing._endpoint_table import EndpointTable
from chiveworks.routing._policy import RoutingPolicy

_MS = timedelta(milliseconds=1)
#: Load of the chosen endpoint from which the next zone is also considered. Other entry
#: processes use the endpoint as well, so requests queue there below full load.
_SPILL_LOAD = 0.5
#: If at most one in four listed endpoints is ejected, at least half of them remain
#: usable unless more than a quarter is leaving, so the usable ones are not counted.
_MIN_ENDPOINTS_PER_EJECTED = 4


class Router:
    """Prefers the nearest zone and spills over before requests queue there."""

    def __init__(
        self, table: EndpointTable, policy: RoutingPolicy, clock: Clock
    ) -> None:
        self._table = table
        self._policy = policy
        self._clock = clock

    def pick(
        self, service: EntryName, excluded: Collection[Endpoint] = ()
    ) -> Endpoint | None:
        """Returns an endpoint with a free slot, or None if there is none.

        Args:
            service: Requested service.
            excluded: Endpoints already tried; used again only if no other accepts.
        """
        now = self._clock.monotonic()
        accepts = self._acceptance_condition(service, excluded, now)
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

    def _acceptance_condition(
        self, service: EntryName, excluded: Collection[Endpoint], now: timedelta
    ) -> Callable[[Endpoint], bool]:
        """Returns a predicate that the policy applies to the endpoints it considers.

        Policies consider only a few endpoints; with 24 endpoints, testing all of them
        took a fifth of the time of a request.
        """
        ejected_count = self._table.count_ejected(now)
        if not ejected_count:
            return lambda endpoint: (
                endpoint.accepts_requests(now) and endpoint not in excluded
            )
        if ejected_count * _MIN_ENDPOINTS_PER_EJECTED <= self._table.count_listed(
            service
        ):
            return lambda endpoint: (
                not endpoint.is_ejected(now)
                and endpoint.accepts_requests(now)
                and endpoint not in excluded
            )
        usable = _usable(self._table.endpoints(service), now)
        return lambda endpoint: (
            endpoint in usable
            and endpoint.accepts_requests(now)
            and endpoint not in excluded
        )


def _usable(group: Sequence[Endpoint], now: timedelta) -> set[Endpoint]:
    """Returns the endpoints that are not ejected, with others to make up half of all.

    The group can shrink after an ejection when endpoints leave, so the minimum of one
    half is enforced here as well as at the ejection.
    """
    usable = {endpoint for endpoint in group if not endpoint.is_ejected(now)}
    missing = (len(group) + 1) // 2 - len(usable)
    if missing > 0:
        ejected = [endpoint for endpoint in group if endpoint not in usable]
        ejected.sort(key=lambda endpoint: (endpoint.probing, endpoint.ejected_until))
        usable.update(ejected[:missing])
    return usable
