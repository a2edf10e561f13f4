"""Background tasks that keep the configuration of an entry process up to date."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from random import Random

from result import Result

from chiveworks.base import Clock, Failure
from chiveworks.membership._backoff import Backoff
from chiveworks.membership._config_push import ConfigPush
from chiveworks.membership._config_source import ConfigSource
from chiveworks.membership._paging import split_push
from chiveworks.membership._peer import Peer
from chiveworks.membership._peer_exchange import PAGE_BYTES, PeerExchange
from chiveworks.membership._peer_status import PeerStatus

_LOG = logging.getLogger(__name__)

_EXCHANGE_INTERVAL = timedelta(seconds=1)
#: Relative jitter; processes that started together must not exchange in lockstep.
_EXCHANGE_JITTER = 0.2
_OWN_ZONE_PROBABILITY = 0.8
#: Age of the watcher's progress after which a process reads the store itself. With
#: that read, a change takes effect within 3 s even if the zone has no watcher.
#: Progress is confirmed and exchanged every second, so a healthy zone stays below it.
_PROGRESS_TIMEOUT = timedelta(seconds=2.3)
_PROGRESS_TIMEOUT_JITTER = timedelta(seconds=0.3)
_ROLE_POLL_INTERVAL = timedelta(seconds=0.4)
#: Limits a process to ten reads per second, however often the store changes.
_MIN_READ_PAUSE = timedelta(seconds=0.1)
_MIN_RETRY_DELAY = timedelta(seconds=0.25)
_MAX_RETRY_DELAY = timedelta(seconds=3)


class ConfigFollower:
    """Follows `config/` through the store, the zone's watcher and the peers.

    The watcher (the owner of the zone's shard) watches the store and pushes changes
    to the peers in its zone. Other processes receive changes by pushes and
    exchanges. A process that has received no watcher progress for 2.3 to 2.6 s
    watches the store itself until it receives some.
    """

    def __init__(
        self,
        exchange: PeerExchange,
        source: ConfigSource,
        is_watcher: Callable[[], bool],
        clock: Clock,
        random: Random,
    ) -> None:
        self._exchange = exchange
        self._source = source
        self._is_watcher = is_watcher
        self._clock = clock
        self._random = random
        self._retry = Backoff(_MIN_RETRY_DELAY, _MAX_RETRY_DELAY, random)
        self._progress_timeout = _PROGRESS_TIMEOUT
        self._ready = asyncio.Event()
        self._pushes: set[asyncio.Task[None]] = set()

    @property
    def is_ready(self) -> bool:
        """Whether the replica has been loaded from the store or from a peer."""
        return self._ready.is_set()

    async def wait_ready(self) -> None:
        """Waits until `is_ready` is true."""
        await self._ready.wait()

    async def run(self) -> None:
        """Loads the configuration and follows its changes until cancelled."""
        try:
            await self._start()
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._follow_store())
                tasks.create_task(self._follow_peers())
        finally:
            for push in self._pushes:
                push.cancel()

    async def announce(self) -> None:
        """Exchanges with all peers of the zone, to report a status change at once."""
        exchange = self._exchange
        peers = exchange.directory.peers_in(exchange.own.zone)
        await asyncio.gather(*(exchange.exchange_with(peer.address) for peer in peers))

    async def _start(self) -> None:
        while not (await self._read_store() or await self._pull_from_peers()):
            await self._clock.sleep(self._retry.next_delay())
        self._ready.set()

    async def _pull_from_peers(self) -> bool:
        peers = self._exchange.directory.peers()
        results = await asyncio.gather(*map(self._revision_at, peers))
        known = sorted((result for result in results if result[0]), reverse=True)
        for _, address in known:
            pulled = await self._exchange.pull_everything(address)
            if pulled.is_ok():
                return True
        return False

    async def _revision_at(self, peer: Peer) -> tuple[int, str]:
        """Returns the peer's revision and address; the revision is 0 on failure."""
        outcome = await self._exchange.exchange_with(peer.address)
        status = outcome.ok()
        return (status.revision if status else 0, peer.address)

    async def _follow_store(self) -> None:
        while True:
            pause = _ROLE_POLL_INTERVAL
            if self._should_read_store():
                is_read = await self._read_store()
                pause = _MIN_READ_PAUSE if is_read else self._retry.next_delay()
            await self._clock.sleep(pause)

    def _should_read_store(self) -> bool:
        if self._is_watcher():
            return True
        age = self._exchange.progress.age()
        if age is not None and age <= _PROGRESS_TIMEOUT:
            # Draws a new jitter for the next time that progress stops.
            jitter = _PROGRESS_TIMEOUT_JITTER * self._random.random()
            self._progress_timeout = _PROGRESS_TIMEOUT + jitter
        return age is None or age > self._progress_timeout

    async def _read_store(self) -> bool:
        outcome = await self._source.read()
        if outcome.is_err():
            _LOG.warning('reading the configuration failed: %s', outcome.unwrap_err())
            return False
        self._retry.reset()
        if self._is_watcher():
            self._exchange.progress.confirm()
            self._push(outcome.unwrap())
        return True

    def _push(self, push: ConfigPush) -> None:
        if not push.items:
            return
        for peer in self._exchange.directory.peers_in(self._exchange.own.zone):
            task = asyncio.ensure_future(self._push_to(peer, push))
            self._pushes.add(task)
            task.add_done_callback(self._pushes.discard)

    async def _push_to(self, peer: Peer, push: ConfigPush) -> None:
        for part in split_push(push, PAGE_BYTES):
            outcome = await self._exchange.calls.push(peer.address, part)
            if outcome.is_err():
                _LOG.info(
                    'pushing configuration changes failed: %s', outcome.unwrap_err()
                )
                return

    async def _follow_peers(self) -> None:
        while True:
            jitter_factor = 1 + _EXCHANGE_JITTER * (2 * self._random.random() - 1)
            await self._clock.sleep(_EXCHANGE_INTERVAL * jitter_factor)
            if not self._exchange.consume_recent_exchange():
                await self._exchange_once()

    async def _exchange_once(self) -> None:
        exchange = self._exchange
        peer = exchange.directory.choose(
            self._random, _OWN_ZONE_PROBABILITY, exchange.calls.failing_addresses()
        )
        if peer is None:
            return
        outcome = await exchange.exchange_with(peer.address)
        if self._needs_full_listing(outcome):
            await exchange.pull_everything(peer.address)

    def _needs_full_listing(self, outcome: Result[PeerStatus, Failure]) -> bool:
        """Returns whether to request a full listing from the peer.

        It is needed if the store is unreachable and the replica's revision is below
        the peer's floor.
        """
        status = outcome.ok()
        if status is None or not self._retry.failures:
            return False
        known = self._exchange.sync.revision
        return status.floor > known and status.revision > known
