"""Lease of an endpoint's slot and session for one request."""

from collections.abc import Callable

import aiohttp

from chiveworks.routing._endpoint import Endpoint


class Lease:
    """Counts as one request in flight until it is released."""

    def __init__(
        self,
        endpoint: Endpoint,
        session: aiohttp.ClientSession,
        on_release: Callable[['Lease'], None],
    ) -> None:
        self.endpoint = endpoint
        self.session = session
        self._on_release = on_release
        self._released = False

    def release(self) -> None:
        """Releases the slot; later calls have no effect."""
        if not self._released:
            self._released = True
            self._on_release(self)
