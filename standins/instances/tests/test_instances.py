"""Tests that changes become visible only after the lag and that no field is lost."""

import asyncio
from datetime import timedelta

import aiohttp
from aiohttp.test_utils import TestServer

from chiveworks.base import (
    EntryName,
    ManualClock,
    RackName,
    Resources,
    SystemClock,
    Verdict,
    ZoneName,
)
from chiveworks.instances import (
    HttpInstanceList,
    Instance,
    InstanceRole,
    InstanceState,
)
from standins.instances import InstanceDirectory, create_app

WORKER = Instance(
    instance_id='laita-w0',
    role=InstanceRole.WORKER,
    zone=ZoneName('laita'),
    rack=RackName('laita-r1'),
    state=InstanceState.LIVE,
    control_url='http://127.0.0.1:1/w/laita-w0',
    serve_url='http://127.0.0.1:1/w/laita-w0',
    services=(EntryName('compteurs'),),
    capacity=Resources(16000, 60_000_000_000, 1),
    slots=8,
    connections=64,
)


async def test_change_shows_only_after_the_lag():
    clock = ManualClock()
    directory = InstanceDirectory(clock, timedelta(seconds=2))
    directory.put('w', {'state': 'live'})
    waiting = asyncio.ensure_future(directory.wait_for_change(0, timedelta(seconds=5)))
    await clock.advance(timedelta(seconds=1.9))
    assert directory.visible() == (0, [])
    await clock.advance(timedelta(seconds=0.2))
    assert await waiting
    assert directory.set_state('w', 'leaving')
    assert directory.visible() == (1, [{'id': 'w', 'state': 'live'}])


async def test_client_reads_back_what_it_registered():
    server = TestServer(create_app(SystemClock(), timedelta(0)))
    async with server, aiohttp.ClientSession() as session:
        listing = HttpInstanceList(session, str(server.make_url('')).rstrip('/'))
        assert (await listing.register(WORKER)).is_ok()
        snapshot = (await listing.poll(0, timedelta(seconds=1))).unwrap()
        assert snapshot and snapshot.instances == (WORKER,)
        unchanged = await listing.poll(snapshot.revision, timedelta(milliseconds=50))
        assert unchanged.unwrap() is None
        outage = {'outage': True}
        await session.post(server.make_url('/faults'), json=outage)
        failure = (await listing.poll(0, timedelta(0))).unwrap_err()
        assert failure.verdict is Verdict.NOT_RUN
