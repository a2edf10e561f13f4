"""Calls, failures and paging of the metadata store client."""

import asyncio
from datetime import timedelta

from aiohttp import web

from chiveworks.base import ManualClock, Revision
from chiveworks.metastore import Committed, Conflict, Transaction
from chiveworks.platform._metadata_client import HttpMetadataStore


class FakeStoreServer:
    """Returns prepared responses and records the bodies of requests."""

    def __init__(self):
        self.responses = []
        self.bodies = []

    async def handle(self, request):
        self.bodies.append(await request.json() if request.can_read_body else {})
        status, body = self.responses.pop(0)
        return web.json_response(body, status=status)


async def call(server, work):
    runner = web.ServerRunner(web.Server(server.handle))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    clock = ManualClock()
    calls = []
    store = HttpMetadataStore(
        f'127.0.0.1:{port}', clock, lambda *observed: calls.append(observed)
    )
    try:
        return await work(store, clock)
    finally:
        await store.close()
        await runner.cleanup()


async def test_failed_calls_make_the_store_unavailable_and_a_success_ends_that():
    """Guards against a process that stays ready without access to the store.

    Also guards against refusing clients because concurrent calls to a slow store
    timed out together.
    """
    server = FakeStoreServer()
    server.responses = [(503, {})] * 3 + [(404, {})]

    async def work(store, clock):
        for _ in range(3):
            await store.read('k')
        assert store.available
        clock.shift(timedelta(seconds=1))
        assert not store.available
        await store.read('k')
        assert store.available

    await call(server, work)


async def test_a_transaction_is_sent_with_its_conditions_and_leases():
    """Guards against binding the wrong keys to the leader's lease."""
    server = FakeStoreServer()
    item = {'key': 'a', 'value': 'eA==', 'revision': 7}
    server.responses = [(200, {'revision': 9}), (412, {'items': [item]})]
    transaction = Transaction(
        expected={'a': Revision(3)},
        writes={'a': b'x', 'b': b'y'},
        removals=('c',),
        lease=5,
        leased=frozenset('a'),
    )

    async def work(store, _clock):
        done = await store.commit(transaction)
        assert done.ok_value == Committed(Revision(9))
        conflict = await store.commit(transaction)
        assert isinstance(conflict.ok_value, Conflict)
        assert conflict.ok_value.items['a'].content == b'x'

    await call(server, work)
    body = server.bodies[0]
    assert body['expected_rev'] == [{'key': 'a', 'revision': 3}]
    assert {row['key']: row['lease'] for row in body['writes']} == {'a': 5, 'b': 0}
    assert body['remove'] == ['c']


async def test_pages_are_read_to_the_end_and_watched_from_the_first():
    """Guards against missing a change that is made between two pages."""
    server = FakeStoreServer()
    rows = [{'key': name, 'value': '', 'revision': 1} for name in ('p/a', 'p/b')]
    server.responses = [
        (200, {'items': rows[:1], 'has_more': True, 'store_revision': 10}),
        (200, {'items': rows[1:], 'has_more': False, 'store_revision': 12}),
    ]

    async def work(store, _clock):
        return (await store.read_all('p/')).ok_value

    listing = await asyncio.wait_for(call(server, work), 10)
    assert [item.key for item in listing.items] == ['p/a', 'p/b']
    assert listing.revision == 10
