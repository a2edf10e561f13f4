"""Startup, operation and graceful shutdown of an entry process."""

import asyncio
import logging
import signal
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from datetime import timedelta

from result import Err

from chiveworks.base import RackName, SystemClock, ZoneName, cancel_all
from chiveworks.entry import _translate_settings as translate
from chiveworks.entry._create_app import create_app
from chiveworks.entry._create_candidate import create_candidate
from chiveworks.entry._drain import DrainState, run_server
from chiveworks.entry._garbage_collector import tune_garbage_collector
from chiveworks.entry._instance_watcher import InstanceWatcher
from chiveworks.entry._peer_network import PeerNetwork, open_peer_network
from chiveworks.entry._platform import Platform, open_platform
from chiveworks.entry._zone_takeover import ZoneTakeover
from chiveworks.instances import (
    Instance,
    InstanceRole,
    InstanceSnapshot,
    InstanceState,
)
from chiveworks.routing import Dispatcher, EndpointTable
from chiveworks.scheduler import ShardCandidate
from chiveworks.settings import Settings
from chiveworks.telemetry import Metrics

_LOG = logging.getLogger(__name__)
_NO_DELAY = timedelta(0)


class EntryProcess:
    """Creates the components of an entry process and runs them until it stops."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._stop = asyncio.Event()
        self._drain = DrainState()

    async def run(self) -> int:
        """Serves until SIGTERM or SIGINT, then shuts down gracefully.

        The failure of a background loop also starts the shutdown.

        Returns:
            The exit code, always 0.
        """
        self._handle_signals()
        async with AsyncExitStack() as stack:
            await self._serve(stack)
        return 0

    async def _serve(self, stack: AsyncExitStack) -> None:
        settings = self._settings
        metrics = Metrics(self._clock, settings.zone, settings.entry_id)
        stack.callback(metrics.close)
        platform = await open_platform(settings, self._clock, metrics, stack)
        network = await open_peer_network(settings, platform, self._clock, stack)
        routing = translate.to_routing(settings)
        table = EndpointTable(self._clock, routing, platform.replica.is_in_service)
        dispatcher = Dispatcher(table, self._clock, routing, metrics.count_retry)
        stack.push_async_callback(dispatcher.close)

        async def update_instances(snapshot: InstanceSnapshot) -> None:
            table.update(snapshot)
            network.update_instances(snapshot)
            await dispatcher.close_unused_connections()

        watcher = InstanceWatcher(platform.instances, self._clock, update_instances)

        def candidate_for(
            zone: ZoneName, contend_delay: timedelta = _NO_DELAY
        ) -> ShardCandidate:
            return create_candidate(
                settings,
                platform,
                network,
                watcher,
                metrics,
                self._clock,
                zone,
                contend_delay,
            )

        candidate = candidate_for(settings.zone)
        takeover = ZoneTakeover(
            settings.zone,
            tuple(settings.zone_latencies_ms),
            platform.replica,
            candidate_for,
        )
        app = create_app(
            settings,
            platform,
            network,
            dispatcher,
            metrics,
            lambda: self._is_ready(network),
            self._clock,
        )
        self._start(stack, 'instance list', watcher.run())
        await self._register(platform, network, InstanceState.LIVE)
        self._start(stack, 'configuration', network.follower.run())
        self._start(stack, 'shard', _run_candidate(network, candidate))
        self._start(stack, 'takeover', takeover.run())

        async def leave() -> None:
            await self._register(platform, network, InstanceState.LEAVING)
            await network.announce_leaving()
            await candidate.release()
            await takeover.release()

        tune_garbage_collector()
        await run_server(
            app,
            settings.listen.host,
            settings.listen.port,
            self._stop,
            drain=self._drain,
            grace=translate.to_grace(settings),
            before_grace=leave,
            on_listening=_log_listening,
            clock=self._clock,
        )

    def _is_ready(self, network: PeerNetwork) -> bool:
        return network.follower.is_ready and not self._drain.is_draining

    async def _register(
        self, platform: Platform, network: PeerNetwork, state: InstanceState
    ) -> None:
        if not self._settings.register_instance:
            return
        registered = await platform.instances.register(
            Instance(
                instance_id=self._settings.entry_id,
                role=InstanceRole.ENTRY,
                zone=self._settings.zone,
                rack=RackName(''),
                state=state,
                peer_address=network.own.address,
            )
        )
        if isinstance(registered, Err):
            _LOG.warning(
                'registration in the instance list failed: %s', registered.err_value
            )

    def _start(
        self,
        stack: AsyncExitStack,
        name: str,
        coroutine: Coroutine[object, object, None],
    ) -> None:
        """Runs a background loop; if it fails, the process shuts down."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        task.add_done_callback(self._on_loop_done)
        stack.push_async_callback(cancel_all, [task])

    def _on_loop_done(self, task: 'asyncio.Task[None]') -> None:
        if task.cancelled() or task.exception() is None:
            return
        _LOG.error(
            'background loop %r failed; shutting down',
            task.get_name(),
            exc_info=task.exception(),
        )
        self._stop.set()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)


async def run_entry(settings: Settings) -> int:
    """Runs an entry process until it stops; returns its exit code.

    Raises:
        OSError: An address cannot be bound.
    """
    return await EntryProcess(settings).run()


async def _run_candidate(network: PeerNetwork, candidate: ShardCandidate) -> None:
    # Without the configuration, the candidate could not know that its zone is out of
    # service.
    await network.follower.wait_ready()
    await candidate.run()


def _log_listening(port: int) -> None:
    _LOG.info('listening on port %d', port)
