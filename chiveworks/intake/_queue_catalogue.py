"""Queues and services of one version of the configuration."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from chiveworks.workflow import QueuePolicy


@dataclass(frozen=True, slots=True)
class QueueRoute:
    """Where the jobs of a queue are handed in.

    Attributes:
        host: Host name that clients name.
        prefix: Start of the path.
        policy: How the queue's jobs are run.
        timeout: Longest time that a request may take.
    """

    host: str
    prefix: str
    policy: QueuePolicy
    timeout: timedelta = timedelta(seconds=3)


@dataclass(frozen=True, slots=True)
class IntakeLimits:
    """Limits of requests.

    Attributes:
        body_bytes: Largest body.
        header_bytes: Largest header section.
        header_timeout: Longest time until the header has arrived.
        idle_timeout: How long a connection may stay open without a request.
    """

    body_bytes: int = 262_144
    header_bytes: int = 16_384
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class QueueCatalogue:
    """One version of the configuration.

    Attributes:
        version: Number of the version; later versions have higher ones.
        routes: Routes by host, the longest prefix first.
        services: Names of the services; True where workers refuse what does not fit.
        limits: Limits of requests.
    """

    version: int
    routes: Mapping[str, Sequence[QueueRoute]] = field(default_factory=dict)
    services: Mapping[str, bool] = field(default_factory=dict)
    limits: IntakeLimits = IntakeLimits()

    @classmethod
    def build(
        cls,
        version: int,
        routes: Sequence[QueueRoute],
        services: Mapping[str, bool],
        limits: IntakeLimits,
    ) -> 'QueueCatalogue':
        """Returns a catalogue whose routes are ordered for look-ups."""
        by_host: dict[str, list[QueueRoute]] = {}
        longest_first = sorted(routes, key=lambda route: -len(route.prefix))
        for route in longest_first:
            by_host.setdefault(route.host, []).append(route)
        return cls(version, by_host, services, limits)

    def find(self, host: str, path: str) -> QueueRoute | None:
        """Returns the route with the longest prefix that a path begins with."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def policy(self, queue: str) -> QueuePolicy | None:
        """Returns the policy of a queue by its name."""
        for routes in self.routes.values():
            for route in routes:
                if route.policy.name == queue:
                    return route.policy
        return None
