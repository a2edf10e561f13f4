"""Fakes of the components that the service route uses."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import cast

from aiohttp import web
from result import Err, Ok

from chiveworks.admission import Admission, AdmissionSettings
from chiveworks.base import (
    EntryName,
    Failure,
    RackName,
    Revision,
    ServiceClass,
    Step,
    StoreLeaseId,
    SystemClock,
    TenantName,
    ZoneName,
)
from chiveworks.entry import DrainState, add_service_routes, run_server
from chiveworks.instances import (
    Instance,
    InstanceRole,
    InstanceSnapshot,
    InstanceState,
)
from chiveworks.routing import Dispatcher, EndpointTable, RoutingSettings
from chiveworks.store import Store, StoreConflict, StoreEntry, StoreRead


@dataclass
class FakeStore:
    """In-memory store with simulated lost writes, lost responses and outages."""

    entries: dict[str, StoreEntry] = field(default_factory=dict)
    revision: int = 0
    lost_answers: int = 0
    lost_writes: int = 0
    unavailable: bool = False
    unavailable_after_writes: bool = False

    async def fetch(self, key):
        await asyncio.sleep(0)
        if self.unavailable:
            return Err(Failure.not_run(Step.STORE_READ, 'store', 'store unavailable'))
        found = self.entries.get(key)
        return Ok(StoreRead(Revision(self.revision), (found,) if found else ()))

    async def compare_and_swap(self, key, value, expected, lease=None):
        await asyncio.sleep(0)
        if self.unavailable:
            return Err(Failure.not_run(Step.STORE_WRITE, 'store', 'store unavailable'))
        if self.lost_writes:
            self.lost_writes -= 1
            return Err(Failure.unknown(Step.STORE_WRITE, 'store', 'request lost'))
        old = self.entries.get(key)
        found = old.mod_revision if old else Revision(0)
        if found != expected:
            return Err(StoreConflict(key, expected, found))
        self.revision += 1
        now = Revision(self.revision)
        created = old.create_revision if old else now
        self.entries[key] = StoreEntry(key, value, now, created)
        self.unavailable = self.unavailable_after_writes
        if self.lost_answers:
            self.lost_answers -= 1
            return Err(Failure.unknown(Step.STORE_WRITE, 'store', 'response lost'))
        return Ok(now)

    async def grant_lease(self, _ttl):
        await asyncio.sleep(0)
        if self.unavailable:
            return Err(Failure.not_run(Step.STORE_WRITE, 'store', 'store unavailable'))
        return Ok(StoreLeaseId(1))

    async def delete(self, key, expected):
        await asyncio.sleep(0)
        self.entries.pop(key)
        return Ok(Revision(self.revision))


@dataclass
class FakeEntry:
    tenant: TenantName = TenantName('regie')
    service_class: ServiceClass = ServiceClass.LATENCY_CRITICAL
    idempotent: bool = False
    deadline_ms: int = 2000
    rate_per_s: float = 0
    concurrency: int = 0


class FakeCatalogue:
    def __init__(self, **entries: FakeEntry) -> None:
        self._entries = entries

    def entry(self, name):
        return self._entries.get(name)


def worker_instance(url: str) -> Instance:
    return Instance(
        url,
        InstanceRole.WORKER,
        ZoneName('laita'),
        RackName(''),
        InstanceState.LIVE,
        serve_url=url,
        services=(EntryName('fast'), EntryName('once'), EntryName('bulk')),
        slots=64,
        connections=64,
    )


@asynccontextmanager
async def listening(app: web.Application):
    """Serves an application without graceful shutdown and yields its URL."""
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    try:
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        yield f'http://127.0.0.1:{runner.addresses[0][1]}'
    finally:
        await runner.cleanup()


class EntryServer:
    """Server with the request path of an entry process, which tests can stop."""

    def __init__(self, store: FakeStore) -> None:
        self.store = store
        self.stop = asyncio.Event()
        self.drain = DrainState()
        self.stopped: asyncio.Future[None] | None = None
        self.port = 0
        self.url = ''

    @asynccontextmanager
    async def serving(self, endpoint_url: str, **options):
        clock = SystemClock()
        settings = RoutingSettings()
        table = EndpointTable(clock, settings, lambda zone: True)
        table.update(InstanceSnapshot(1, (worker_instance(endpoint_url),)))
        dispatcher = Dispatcher(table, clock, settings)
        app = web.Application()
        add_service_routes(
            app,
            catalogue=FakeCatalogue(
                fast=FakeEntry(idempotent=True),
                once=FakeEntry(),
                bulk=FakeEntry(idempotent=True, deadline_ms=60_000),
            ),
            admission=Admission(clock, AdmissionSettings()),
            dispatcher=dispatcher,
            store=cast(Store, self.store),
            clock=clock,
        )
        port = asyncio.get_running_loop().create_future()
        self.stopped = asyncio.ensure_future(
            run_server(
                app,
                '127.0.0.1',
                0,
                self.stop,
                drain=self.drain,
                on_listening=port.set_result,
                **options,
            )
        )
        self.port = await port
        self.url = f'http://127.0.0.1:{self.port}'
        try:
            yield self
        finally:
            self.stop.set()
            await self.stopped
            await dispatcher.close()
