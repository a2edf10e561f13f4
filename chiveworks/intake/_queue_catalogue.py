"""Catalogue of the queues and services in one version of the configuration."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from chiveworks.accounts import AccountDirectory
from chiveworks.workflow import QueuePolicy


@dataclass(frozen=True, slots=True)
class QueueRoute:
    """Host and path prefix to which clients submit the jobs of a queue.

    Attributes:
        host: Host name in the request.
        prefix: Prefix of the request path.
        policy: Scheduling policy of the queue.
        timeout: Time limit of a request.
        public: Whether calls need no key of a client account.
    """

    host: str
    prefix: str
    policy: QueuePolicy
    timeout: timedelta = timedelta(seconds=3)
    public: bool = False


@dataclass(frozen=True, slots=True)
class IntakeLimits:
    """Limits on client requests.

    Attributes:
        body_bytes: Maximum size of the body.
        header_bytes: Maximum size of the header section.
        header_timeout: Time limit for receiving the header section.
        idle_timeout: Time for which a connection may stay open without a request.
    """

    body_bytes: int = 262_144
    header_bytes: int = 16_384
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class QueueCatalogue:
    """Queues, services and limits in one version of the configuration.

    Attributes:
        version: Version number; increases with each version.
        routes: Routes by host, sorted by descending prefix length.
        services: Whether the workers of a service reject tasks that exceed their
            capacity, by service name.
        limits: Limits on client requests.
        accounts: Client accounts; None if the deployment has no accounts, so that calls
            need no key.
    """

    version: int
    routes: Mapping[str, Sequence[QueueRoute]] = field(default_factory=dict)
    services: Mapping[str, bool] = field(default_factory=dict)
    limits: IntakeLimits = IntakeLimits()
    accounts: AccountDirectory | None = None

    @classmethod
    def build(
        cls,
        version: int,
        routes: Sequence[QueueRoute],
        services: Mapping[str, bool],
        limits: IntakeLimits,
        accounts: AccountDirectory | None = None,
    ) -> 'QueueCatalogue':
        """Creates a catalogue, with its routes grouped and sorted for lookups."""
        by_host: dict[str, list[QueueRoute]] = {}
        longest_first = sorted(routes, key=lambda route: -len(route.prefix))
        for route in longest_first:
            by_host.setdefault(route.host, []).append(route)
        return cls(version, by_host, services, limits, accounts)

    def find(self, host: str, path: str) -> QueueRoute | None:
        """Returns the route with the longest prefix that matches a path."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def policy(self, queue: str) -> QueuePolicy | None:
        """Returns the policy of a queue, looked up by the queue's name."""
        for routes in self.routes.values():
            for route in routes:
                if route.policy.name == queue:
                    return route.policy
        return None
