"""Latency that the service route adds to a request, and throughput of one process.

Endpoints and the entry process run in separate processes; this process is the
caller. Direct and routed requests alternate within one run, so that both are
measured under the same conditions.
"""

import argparse
import asyncio
import json
import multiprocessing
import os
import platform
import statistics
import time
from dataclasses import dataclass
from datetime import datetime, timezone
from multiprocessing.connection import Connection
from pathlib import Path
from typing import cast

import psutil
import uvloop
from aiohttp import web

from chiveworks.admission import Admission, AdmissionSettings
from chiveworks.base import (
    EntryName,
    RackName,
    ServiceClass,
    SystemClock,
    TenantName,
    ZoneName,
)
from chiveworks.entry import (
    DrainState,
    add_service_routes,
    run_server,
    tune_garbage_collector,
)
from chiveworks.instances import (
    Instance,
    InstanceRole,
    InstanceSnapshot,
    InstanceState,
)
from chiveworks.routing import Dispatcher, EndpointTable, RoutingSettings
from chiveworks.store import Store

SERVICE = EntryName('compteurs')
RESULTS = Path(__file__).parent / 'results'
BODY = b'x' * 200
ENDPOINTS = 24
ENDPOINT_PROCESSES = 2


@dataclass(frozen=True)
class BenchEntry:
    """Catalogue entry of the service under test."""

    tenant: TenantName = TenantName('regie')
    service_class: ServiceClass = ServiceClass.LATENCY_CRITICAL
    idempotent: bool = True
    deadline_ms: int = 10_000
    rate_per_s: float = 1e9
    concurrency: int = 10_000


class BenchCatalogue:
    """A catalogue with one entry."""

    def entry(self, name: EntryName) -> BenchEntry | None:
        return BenchEntry() if name == SERVICE else None


async def serve_endpoint(port_pipe: Connection) -> None:
    async def echo(request: web.Request) -> web.Response:
        body = await request.read()
        headers = {'X-Request-Id': request.headers['X-Request-Id']}
        return web.Response(body=body, headers=headers)

    app = web.Application()
    app.router.add_post('/serve/compteurs/{path:.*}', echo)
    await run_server(
        app,
        '127.0.0.1',
        0,
        asyncio.Event(),
        drain=DrainState(),
        on_listening=port_pipe.send,
    )


def create_instance_snapshot(ports: list[int]) -> InstanceSnapshot:
    # Several endpoints share a process, but the entry process sees distinct ones.
    return InstanceSnapshot(
        1,
        tuple(
            Instance(
                f'w{number}',
                InstanceRole.WORKER,
                ZoneName('laita'),
                RackName(''),
                InstanceState.LIVE,
                serve_url=f'http://127.0.0.1:{ports[number % len(ports)]}',
                services=(SERVICE,),
                slots=8,
                connections=64,
            )
            for number in range(ENDPOINTS)
        ),
    )


async def serve_entry(port_pipe: Connection, endpoint_ports: list[int]) -> None:
    clock = SystemClock()
    settings = RoutingSettings()
    table = EndpointTable(clock, settings, lambda zone: True)
    table.update(create_instance_snapshot(endpoint_ports))
    app = web.Application()
    add_service_routes(
        app,
        catalogue=BenchCatalogue(),
        admission=Admission(clock, AdmissionSettings(limiter='fixed')),
        dispatcher=Dispatcher(table, clock, settings),
        # Idempotent requests do not access the store.
        store=cast(Store, None),
        clock=clock,
    )
    await run_server(
        app,
        '127.0.0.1',
        0,
        asyncio.Event(),
        drain=DrainState(),
        on_listening=port_pipe.send,
    )


# libuv reads this when an event loop is created, also in the child processes.
os.environ['UV_USE_IO_URING'] = '0'


def run_endpoint(port_pipe: Connection) -> None:
    uvloop.run(serve_endpoint(port_pipe))


def run_entry(port_pipe: Connection, endpoint_ports: list[int], options) -> None:
    profile = options.profile
    if not options.default_collector:
        tune_garbage_collector()
    if profile:
        import cProfile

        with cProfile.Profile() as profiler:
            try:
                uvloop.run(
                    asyncio.wait_for(serve_entry(port_pipe, endpoint_ports), timeout=20)
                )
            except TimeoutError:
                profiler.dump_stats(profile)
        return
    uvloop.run(serve_entry(port_pipe, endpoint_ports))


class Caller:
    """A caller with one keep-alive connection."""

    def __init__(self, port: int, path: str) -> None:
        head = f'POST {path} HTTP/1.1\r\nHost: bench\r\nX-Request-Id: r\r\n'
        self._request = f'{head}Content-Length: {len(BODY)}\r\n\r\n'.encode() + BODY
        self._port = port

    async def connect(self) -> None:
        streams = await asyncio.open_connection('127.0.0.1', self._port)
        self._reader, self._writer = streams

    async def send_request(self) -> float:
        started = time.perf_counter()
        self._writer.write(self._request)
        head = await self._reader.readuntil(b'\r\n\r\n')
        if not head.startswith(b'HTTP/1.1 200'):
            raise RuntimeError(f'unexpected answer: {head!r}')
        await self._reader.readexactly(len(BODY))
        return (time.perf_counter() - started) * 1000

    def close(self) -> None:
        self._writer.close()


async def open_callers(port: int, path: str, count: int) -> list[Caller]:
    callers = [Caller(port, path) for _ in range(count)]
    for caller in callers:
        await caller.connect()
    return callers


async def measure_latency(direct: Caller, routed: Caller, count: int) -> dict:
    times: dict[str, list[float]] = {'direct': [], 'routed': []}
    for number in range(count + 200):
        pair = (await direct.send_request(), await routed.send_request())
        if number >= 200:
            times['direct'].append(pair[0])
            times['routed'].append(pair[1])
    return {
        name: {
            'median_ms': round(statistics.median(latencies_ms), 3),
            'p99_ms': round(statistics.quantiles(latencies_ms, n=100)[98], 3),
        }
        for name, latencies_ms in times.items()
    }


async def measure_rate(callers: list[Caller], seconds: float, pid: int) -> dict:
    process = psutil.Process(pid)
    latencies_ms: list[float] = []
    deadline = time.perf_counter() + seconds

    async def send_requests(caller: Caller) -> None:
        while time.perf_counter() < deadline:
            latencies_ms.append(await caller.send_request())

    before = process.cpu_times()
    started = time.perf_counter()
    await asyncio.gather(*map(send_requests, callers))
    elapsed = time.perf_counter() - started
    after = process.cpu_times()
    cpu_s = after.user + after.system - before.user - before.system
    return {
        'callers': len(callers),
        'requests_per_s': round(len(latencies_ms) / elapsed),
        'cpu_share': round(cpu_s / elapsed, 2),
        'cpu_us_per_request': round(cpu_s / len(latencies_ms) * 1e6),
        'median_ms': round(statistics.median(latencies_ms), 3),
        'p99_ms': round(statistics.quantiles(latencies_ms, n=100)[98], 3),
    }


async def measure(endpoint: int, entry: int, pid: int, options) -> dict:
    direct = (endpoint, '/serve/compteurs/q')
    routed = (entry, '/services/compteurs/q')
    direct_callers = await open_callers(*direct, 1)
    routed_callers = await open_callers(*routed, 1)
    latency = await measure_latency(
        direct_callers[0], routed_callers[0], options.requests
    )
    load_callers = await open_callers(*routed, 32)
    rate = await measure_rate(load_callers, options.seconds, pid)
    for caller in (*direct_callers, *routed_callers, *load_callers):
        caller.close()
    return {'latency': latency, 'rate': rate}


def start_process(target, *arguments):
    context = multiprocessing.get_context('spawn')
    receiver, sender = context.Pipe(duplex=False)
    process = context.Process(target=target, args=(sender, *arguments), daemon=True)
    process.start()
    return process, receiver.recv()


def describe_machine() -> dict:
    return {
        'python': platform.python_version(),
        'machine': platform.machine(),
        'cores': os.cpu_count(),
        'load_1min': round(os.getloadavg()[0], 2),
        'at': datetime.now(timezone.utc).isoformat(timespec='seconds'),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--requests', type=int, default=3000)
    parser.add_argument('--seconds', type=float, default=4)
    parser.add_argument(
        '--profile', default='', help='write a profile of the entry process'
    )
    parser.add_argument('--label', default='')
    parser.add_argument('--default-collector', action='store_true')
    options = parser.parse_args()
    machine = describe_machine()
    processes = []
    try:
        ports = []
        for _ in range(ENDPOINT_PROCESSES):
            process, port = start_process(run_endpoint)
            processes.append(process)
            ports.append(port)
        process, entry_port = start_process(run_entry, ports, options)
        processes.append(process)
        measurements = uvloop.run(measure(ports[0], entry_port, process.pid, options))
        if options.profile:
            process.join()
    finally:
        for process in processes:
            process.terminate()
    print(json.dumps(machine))
    print(json.dumps(measurements, indent=2))
    RESULTS.mkdir(exist_ok=True)
    report = {'label': options.label, 'machine': machine, **measurements}
    path = RESULTS / 'request_path.json'
    path.write_text(json.dumps(report, indent=2) + '\n')


if __name__ == '__main__':
    main()
