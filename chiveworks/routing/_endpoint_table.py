"""Table of the known endpoints."""

from collections.abc import Callable
from datetime import timedelta

from chiveworks.base import Clock, EntryName, ZoneName
from chiveworks.instances import (
    Instance,
    InstanceRole,
    InstanceSnapshot,
    InstanceState,
)
from chiveworks.routing._endpoint import Endpoint
from chiveworks.routing._settings import RoutingSettings


class EndpointTable:
    """Endpoints by service and zone, built from the platform's instance list.

    Args:
        clock: Source of time.
        settings: Parameters of routing.
        is_in_service: Tells whether a zone is in service. It is called for each
            request, so a zone taken out of service immediately gets no new ones.
    """

    def __init__(
        self,
        clock: Clock,
        settings: RoutingSettings,
        is_in_service: Callable[[ZoneName], bool],
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._is_in_service = is_in_service
        self._revision = -1
        self._ejected: set[Endpoint] = set()
        self._endpoints: dict[str, Endpoint] = {}
        self._zones: dict[EntryName, list[tuple[ZoneName, list[Endpoint]]]] = {}

    def update(self, snapshot: InstanceSnapshot) -> None:
        """Updates the table from an instance list; an outdated list is ignored."""
        if snapshot.revision < self._revision:
            return
        self._revision = snapshot.revision
        listed = {
            instance.instance_id: instance
            for instance in snapshot.instances
            if instance.role is InstanceRole.WORKER and instance.serve_url
        }
        for gone in self._endpoints.keys() - listed.keys():
            self._endpoints.pop(gone).leaving = True
        for instance in listed.values():
            self._update_endpoint(instance)
        self._rebuild_zones()

    def endpoints(self, service: EntryName) -> tuple[Endpoint, ...]:
        """Returns the live endpoints in zones in service, including ejected ones."""
        return tuple(
            endpoint
            for _, group in self.zones(service)
            for endpoint in group
            if endpoint.is_serving()
        )

    def zones(self, service: EntryName) -> list[tuple[ZoneName, list[Endpoint]]]:
        """Returns the listed endpoints of the zones in service, nearest zone first.

        Includes leaving endpoints; see `Endpoint.accepts_requests`.
        """
        return [
            zone_group
            for zone_group in self._zones.get(service, ())
            if self._is_in_service(zone_group[0])
        ]

    def count_ejected(self, now: timedelta) -> int:
        """Returns the number of endpoints of all services that are ejected or probed."""
        if self._ejected:
            self._ejected = {
                endpoint for endpoint in self._ejected if endpoint.is_ejected(now)
            }
        return len(self._ejected)

    def count_listed(self, service: EntryName) -> int:
        """Returns the number of the service's listed endpoints in zones in service."""
        return sum(len(group) for _, group in self.zones(service))

    def has_service(self, service: EntryName) -> bool:
        """Tells whether any listed endpoint runs the service."""
        return service in self._zones

    def zone_latency(self, zone: ZoneName) -> timedelta:
        """Returns the round-trip time to a zone, 1 s if it is not in the settings."""
        return self._settings.zone_latencies.get(zone, timedelta(seconds=1))

    def eject(self, endpoint: Endpoint) -> bool:
        """Ejects an endpoint if at least half of each service's endpoints remain.

        Returns:
            Whether the endpoint was ejected.
        """
        if not self._may_eject(endpoint):
            return False
        endpoint.eject(self._clock.monotonic())
        self._ejected.add(endpoint)
        return True

    def start_probe(self, endpoint: Endpoint) -> bool:
        """Marks an endpoint as being probed, under the same condition as `eject`.

        Returns:
            Whether a probe should be started.
        """
        if endpoint.probing or not self._may_eject(endpoint):
            return False
        endpoint.probing = True
        self._ejected.add(endpoint)
        return True

    def _may_eject(self, endpoint: Endpoint) -> bool:
        now = self._clock.monotonic()
        if endpoint.is_ejected(now):
            return False
        return all(
            self._keeps_half(service, now) for service in endpoint.instance.services
        )

    def _keeps_half(self, service: EntryName, now: timedelta) -> bool:
        """Tells whether at least half of the endpoints remain after another ejection."""
        group = self.endpoints(service)
        ejected = sum(1 for endpoint in group if endpoint.is_ejected(now))
        return (ejected + 1) * 2 <= len(group)

    def _update_endpoint(self, instance: Instance) -> None:
        known = self._endpoints.get(instance.instance_id)
        if known is None or known.instance.serve_url != instance.serve_url:
            if known is not None:
                known.leaving = True
            self._endpoints[instance.instance_id] = Endpoint(instance, self._settings)
            return
        was_leaving = known.instance.state is InstanceState.LEAVING
        if was_leaving and instance.state is InstanceState.LIVE:
            # The list lags behind announcements, so "live" alone may be outdated.
            # Only a change from "leaving" to "live" revokes an announcement.
            known.leaving = False
            known.returned_at = self._clock.monotonic()
        known.update_instance(instance)

    def _rebuild_zones(self) -> None:
        grouped: dict[EntryName, dict[ZoneName, list[Endpoint]]] = {}
        for endpoint in self._endpoints.values():
            for service in endpoint.instance.services:
                zones = grouped.setdefault(service, {})
                zones.setdefault(endpoint.instance.zone, []).append(endpoint)
        self._zones = {
            name: sorted(by_zone.items(), key=self._distance)
            for name, by_zone in grouped.items()
        }

    def _distance(
        self, zone_group: tuple[ZoneName, list[Endpoint]]
    ) -> tuple[timedelta, ZoneName]:
        zone = zone_group[0]
        return self.zone_latency(zone), zone
