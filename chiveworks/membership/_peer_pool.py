"""Pool of connections to other entry processes."""

import asyncio
from collections.abc import Iterable
from contextlib import AsyncExitStack
from datetime import timedelta
from random import Random
from types import TracebackType
from typing import Any, TypeVar

from result import Err, Ok, Result

from chiveworks.base import Clock, Failure, Step, ZoneName
from chiveworks.membership._backoff import Backoff
from chiveworks.membership._config_push import ConfigPush
from chiveworks.membership._exchange_reply import ExchangeReply
from chiveworks.membership._exchange_request import ExchangeRequest
from chiveworks.membership._peer_link import PeerLink
from chiveworks.membership._shard_operation import ShardOperation
from chiveworks.membership._wire_exchange import (
    push_to_wire,
    reply_from_wire,
    request_to_wire,
)

_Request = TypeVar('_Request')
_Reply = TypeVar('_Reply')

_EXCHANGE_TIMEOUT = timedelta(seconds=1)
_MIN_RECONNECT_DELAY = timedelta(milliseconds=200)
_MAX_RECONNECT_DELAY = timedelta(seconds=5)
#: A peer that is no longer listed may still own a shard for some time.
_UNLISTED_RETENTION = timedelta(seconds=60)


class PeerPool:
    """Keeps one channel and one task per peer; an asynchronous context manager."""

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._links: dict[str, PeerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._cancelled: set[asyncio.Task[None]] = set()
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> 'PeerPool':
        """Prepares the pool; the first call to a peer opens its channel."""
        self._stack.push_async_callback(self._close_links)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Closes all channels."""
        await self._stack.aclose()

    def reconcile(self, addresses: Iterable[str]) -> None:
        """Closes channels to unlisted addresses that have not been used for 60 s."""
        listed = frozenset(addresses)
        unused_since = self._clock.monotonic() - _UNLISTED_RETENTION
        for address, link in tuple(self._links.items()):
            if address not in listed and link.last_use < unused_since:
                self._links.pop(address)
                self._cancel(self._tasks.pop(address))

    def failing_addresses(self) -> frozenset[str]:
        """Returns the addresses of peers that are currently failing."""
        return frozenset(
            address for address, link in self._links.items() if link.is_failing
        )

    async def exchange(
        self, address: str, request: ExchangeRequest
    ) -> Result[ExchangeReply, Failure]:
        """Exchanges state with a peer."""
        message = request_to_wire(request)
        outcome = await self._link(address).call('Exchange', message, _EXCHANGE_TIMEOUT)
        return outcome.map(reply_from_wire)

    async def push(self, address: str, push: ConfigPush) -> Result[None, Failure]:
        """Pushes configuration changes to a peer."""
        message = push_to_wire(push)
        outcome = await self._link(address).call('Push', message, _EXCHANGE_TIMEOUT)
        return outcome.map(lambda _: None)

    async def call_shard(
        self,
        address: str,
        zone: ZoneName,
        operation: ShardOperation[_Request, _Reply],
        request: _Request,
        timeout: timedelta,
    ) -> Result[_Reply, Failure]:
        """Calls the shard of `zone` on the peer that presumably owns it."""
        message: Any = operation.request_to_wire(request)
        message.zone = zone
        outcome = await self._link(address).call(operation.method, message, timeout)
        match outcome:
            case Ok(reply):
                return _decode(operation, reply, address)
            case Err(failure):
                return Err(failure)

    def _link(self, address: str) -> PeerLink:
        link = self._links.get(address)
        if link is None:
            backoff = Backoff(_MIN_RECONNECT_DELAY, _MAX_RECONNECT_DELAY, self._random)
            link = PeerLink(address, self._clock, backoff)
            self._links[address] = link
            self._tasks[address] = asyncio.ensure_future(link.run())
        return link

    def _cancel(self, task: asyncio.Task[None]) -> None:
        self._cancelled.add(task)
        task.add_done_callback(self._cancelled.discard)
        task.cancel()

    async def _close_links(self) -> None:
        for task in self._tasks.values():
            self._cancel(task)
        self._links.clear()
        self._tasks.clear()
        await asyncio.gather(*self._cancelled, return_exceptions=True)


def _decode(
    operation: ShardOperation[Any, _Reply], message: Any, address: str
) -> Result[_Reply, Failure]:
    try:
        return operation.decode_result(message)
    except ValueError as error:
        return Err(Failure.unknown(Step.READ, address, f'invalid reply: {error}'))
