"""A small fleet of operating system processes on this machine."""

import asyncio
import signal
import time
from contextlib import AsyncExitStack
from pathlib import Path
from types import TracebackType
from typing import Any

import aiohttp
import yaml

from examples.fleet._ports import LOOPBACK, reserve_ports
from examples.fleet._program import Program
from examples.fleet._shape import FleetShape

_READY_TIMEOUT_S = 30
_READY_POLL_INTERVAL_S = 0.1


class Fleet:
    """Asynchronous context manager that runs stand-ins and entry processes.

    Args:
        shape: Number of zones, workers and entry processes.
        directory: Directory for settings files and logs.
        settings: Settings that override the defaults in all entry processes.
        worker_options: Additional command line options for the worker stand-in.

    Attributes:
        shape: Number of zones, workers and entry processes.
        entries: Entry processes by name.
        entry_urls: HTTP address of each entry process.
        worker_urls: HTTP address of the stand-in that runs each worker.
        store_url: HTTP address of the store stand-in.
        instances_url: HTTP address of the instance list stand-in.
    """

    def __init__(
        self,
        shape: FleetShape,
        directory: Path,
        settings: dict[str, Any] | None = None,
        worker_options: tuple[str, ...] = (),
    ) -> None:
        self.shape = shape
        self.entries: dict[str, Program] = {}
        self.entry_urls: dict[str, str] = {}
        self.worker_urls: dict[str, str] = {}
        self.store_url = ''
        self.instances_url = ''
        self._directory = directory
        self._settings = settings or {}
        self._worker_options = worker_options
        self._stack = AsyncExitStack()
        self._http: aiohttp.ClientSession | None = None

    @property
    def http(self) -> aiohttp.ClientSession:
        """HTTP session for requests to the fleet."""
        if self._http is None:
            raise RuntimeError('the fleet was not started')
        return self._http

    async def __aenter__(self) -> 'Fleet':
        """Starts all processes and waits until they are ready.

        Raises:
            RuntimeError: If an entry process ends at the start.
            TimeoutError: If this takes longer than 30 s.
        """
        connector = aiohttp.TCPConnector(limit=0)
        session = aiohttp.ClientSession(connector=connector)
        self._http = await self._stack.enter_async_context(session)
        try:
            await self._start_store_and_instance_list()
            await self._start_workers()
            await asyncio.gather(*(self._start_zone(zone) for zone in self.shape.zones))
            await self.wait_ready()
            for name in self.entries:
                self._check_runs(name)
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops all processes."""
        await self._stack.aclose()

    async def wait_ready(self) -> None:
        """Waits until all running entry processes are ready and all shards owned.

        Raises:
            RuntimeError: If one of them ends in the meantime.
            TimeoutError: If this takes longer than 30 s.
        """
        async with asyncio.timeout(_READY_TIMEOUT_S):
            for name, url in self.entry_urls.items():
                if self.entries[name].returncode is None:
                    await self._wait_until_ok(f'{url}/readyz', name)
            while await self._unowned_zones():
                await asyncio.sleep(_READY_POLL_INTERVAL_S)

    async def start_entry(self, name: str) -> None:
        """Starts or restarts an entry process with its settings file."""
        path = self._directory / f'{name}.yaml'
        arguments = ('-m', 'chiveworks', 'serve', str(path))
        program = Program(name, arguments, self._directory / f'{name}.log')
        self.entries[name] = program
        await self._run(program)

    async def status(self) -> dict[str, Any]:
        """Returns the status as reported by the first running entry process."""
        for name, url in self.entry_urls.items():
            if self.entries[name].returncode is None:
                async with self.http.get(f'{url}/v1/status') as response:
                    status: dict[str, Any] = await response.json()
                    return status
        raise RuntimeError('no entry process is running')

    async def owner_of(self, zone: str) -> str:
        """Returns the name of the zone's shard owner, or '' if it is unknown."""
        status = await self.status()
        owners = {shard['zone']: shard['owner'] for shard in status['shards']}
        return str(owners.get(zone, ''))

    async def worker_logs(self) -> dict[str, dict[str, Any]]:
        """Returns the log of each worker by worker id."""
        logs = {}
        for worker, url in self.worker_urls.items():
            async with self.http.get(f'{url}/w/{worker}/log') as response:
                logs[worker] = await response.json()
        return logs

    def suspend(self, name: str) -> None:
        """Suspends an entry process with SIGSTOP."""
        self.entries[name].send(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a suspended entry process with SIGCONT."""
        self.entries[name].send(signal.SIGCONT)

    async def _start_store_and_instance_list(self) -> None:
        store_port, instances_port = reserve_ports(2, self._stack)
        self.store_url = f'http://{LOOPBACK}:{store_port}'
        self.instances_url = f'http://{LOOPBACK}:{instances_port}'
        await self._run_module('standins.store', store_port)
        await self._run_module('standins.instances', instances_port)
        await self._wait_until_ok(f'{self.store_url}/stats')
        await self._wait_until_ok(f'{self.instances_url}/v1/instances')

    async def _start_workers(self) -> None:
        ports = reserve_ports(len(self.shape.zones), self._stack)
        counts = self.shape.workers_per_zone
        for zone, port, count in zip(self.shape.zones, ports, counts, strict=True):
            await self._run_module(
                'standins.workers',
                port,
                f'--zone={zone}',
                f'--rack={zone}-r1',
                f'--count={count}',
                f'--instances-url={self.instances_url}',
                f'--services={self.shape.service}',
                f'--id-prefix={zone}-w',
                *self._worker_options,
            )
            for number in range(count):
                self.worker_urls[f'{zone}-w{number}'] = f'http://{LOOPBACK}:{port}'

    async def _start_zone(self, zone: str) -> None:
        for number in range(self.shape.entries_per_zone):
            name = f'{zone}-e{number}'
            http_port, peer_port = reserve_ports(2, self._stack)
            self.entry_urls[name] = f'http://{LOOPBACK}:{http_port}'
            self._write_settings(name, zone, http_port, peer_port)
            await self.start_entry(name)

    def _write_settings(
        self, name: str, zone: str, http_port: int, peer_port: int
    ) -> None:
        latency_ms = self.shape.zone_latency_ms
        settings = {
            'entry_id': name,
            'zone': zone,
            'listen': {'host': LOOPBACK, 'port': http_port},
            'peer': {'host': LOOPBACK, 'port': peer_port},
            'store_url': self.store_url,
            'instances_url': self.instances_url,
            'zones': [
                {'name': other, 'latency_ms': 0.1 if other == zone else latency_ms}
                for other in self.shape.zones
            ],
            'drain_grace_ms': 500,
            **self._settings,
        }
        path = self._directory / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings, sort_keys=False))

    async def _unowned_zones(self) -> set[str]:
        status = await self.status()
        return set(self.shape.zones) - {shard['zone'] for shard in status['shards']}

    async def _run_module(self, module: str, port: int, *options: str) -> None:
        arguments = ('-m', module, '--host', LOOPBACK, '--port', str(port), *options)
        name = f'{module}-{port}'
        await self._run(Program(name, arguments, self._directory / f'{name}.log'))

    async def _run(self, program: Program) -> None:
        await program.start()
        self._stack.push_async_callback(program.stop)

    def _check_runs(self, name: str) -> None:
        if self.entries[name].returncode is not None:
            output = (self._directory / f'{name}.log').read_text()
            raise RuntimeError(f'{name} ended at the start: {output}')

    async def _wait_until_ok(self, url: str, entry: str = '') -> None:
        deadline = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if entry:
                self._check_runs(entry)
            try:
                async with self.http.get(url) as response:
                    if response.ok:
                        return
            except aiohttp.ClientError:
                pass  # noqa: WPS420 - the server is still starting
            await asyncio.sleep(_READY_POLL_INTERVAL_S)
        raise TimeoutError(f'{url} did not respond successfully in time')
