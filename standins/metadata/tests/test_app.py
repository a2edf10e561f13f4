"""The HTTP interface of the stand-in, as the client of the product sees it."""

from datetime import timedelta

import pytest
from aiohttp import web

from chiveworks.base import SystemClock
from chiveworks.metastore import Committed, Conflict, Transaction
from chiveworks.platform._metadata_client import HttpMetadataStore
from standins.metadata._app import create_app


@pytest.fixture
async def store():
    """Yields a client of a stand-in with an empty store."""
    clock = SystemClock()
    runner = web.AppRunner(create_app(clock))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = runner.addresses[0][1]
    client = HttpMetadataStore(f'127.0.0.1:{port}', clock, lambda *_: None)
    yield client
    await client.close()
    await runner.cleanup()


async def test_writes_leases_and_conflicts_match_the_store_in_memory(store):
    """Guards against tests over processes with a store that behaves differently."""
    lease = (await store.grant_lease(timedelta(seconds=5))).ok_value
    written = Transaction(
        expected={'a/1': 0}, writes={'a/1': b'x'}, lease=lease, leased={'a/1'}
    )
    committed = (await store.commit(written)).ok_value
    assert isinstance(committed, Committed)
    assert (await store.read('a/1')).ok_value.content == b'x'
    conflict = (await store.commit(written)).ok_value
    assert isinstance(conflict, Conflict)
    assert conflict.items['a/1'].revision == committed.revision
    listing = (await store.read_all('a/')).ok_value
    assert [item.key for item in listing.items] == ['a/1']
    assert (await store.renew_lease(lease)).ok_value
    await store.revoke_lease(lease)
    assert not (await store.renew_lease(lease)).ok_value
    batch = (await store.watch('a/', committed.revision, timedelta(seconds=1))).ok_value
    assert [item.content for item in batch.items] == [None]
