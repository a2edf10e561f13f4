"""Registration of workers in the instance list."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import suppress
from datetime import timedelta

from aiohttp import ClientSession, web

from chiveworks.base import Clock
from chiveworks.instances import HttpInstanceList, Instance

_RETRY_DELAY = timedelta(milliseconds=200)


class Registration:
    """Cleanup context that registers instances, retrying until it succeeds."""

    def __init__(
        self, clock: Clock, instances_url: str, instances: Iterable[Instance]
    ) -> None:
        self._clock = clock
        self._instances_url = instances_url
        self._instances = tuple(instances)

    async def run(self, _app: web.Application) -> AsyncIterator[None]:
        """Registers in the background while the application runs."""
        async with ClientSession() as session:
            listing = HttpInstanceList(session, self._instances_url)
            task = asyncio.ensure_future(self._register_all(listing))
            yield
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

    async def _register_all(self, listing: HttpInstanceList) -> None:
        for instance in self._instances:
            while (await listing.register(instance)).is_err():
                await self._clock.sleep(_RETRY_DELAY)
