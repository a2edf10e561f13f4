"""Identifies the client account of a request."""

from collections.abc import Callable
from datetime import timedelta

from aiohttp import web

from chiveworks.accounts import KeyCheck, KeyRefusal
from chiveworks.base import Clock
from chiveworks.intake import Caller, QueueCatalogue, QueueRoute


class CallerCheck:
    """Checks the key of a request against the latest known configuration.

    Args:
        key_check: Decides by its key whether a call is served.
        catalogue: Returns the latest configuration; None before the first is read.
        confirmed_at: Returns the time up to which the configuration is known; None if it
            is not.
        clock: Source of time.
    """

    def __init__(
        self,
        key_check: KeyCheck,
        catalogue: Callable[[], QueueCatalogue | None],
        confirmed_at: Callable[[], timedelta | None],
        clock: Clock,
    ) -> None:
        self._key_check = key_check
        self._catalogue = catalogue
        self._confirmed_at = confirmed_at
        self._clock = clock

    def identify(
        self, request: web.BaseRequest, route: QueueRoute
    ) -> Caller | KeyRefusal | None:
        """Returns who makes a request, or why it is refused.

        Args:
            request: The request.
            route: Route of the request if the latest configuration has none for it.

        Returns:
            The caller; None if the deployment has no client accounts.
        """
        catalogue = self._catalogue()
        if catalogue is None or catalogue.accounts is None:
            return None
        # It may have been opened or closed since the request arrived.
        latest_route = catalogue.find(host_of(request), request.path) or route
        outcome = self._key_check.decide(
            request.headers.get('Authorization'),
            catalogue.accounts,
            self._confirmed_at(),
            self._clock.monotonic(),
            public=latest_route.public,
        )
        if isinstance(outcome, KeyRefusal):
            return outcome
        return Caller(outcome, latest_route.policy.name)


def host_of(request: web.BaseRequest) -> str:
    """Returns the host that a request names, without its port."""
    return request.headers.get('Host', '').partition(':')[0]
