"""Guards against catalogue responses with a wrong status, verdict or body."""

import json

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from chiveworks.base import ZoneName
from chiveworks.catalogue import CatalogueEditor, CatalogueReplica
from chiveworks.catalogue.tests.fake_store import AutoAdvanceClock, FakeStore
from chiveworks.entry._catalogue_routes import add_catalogue_routes

ENTRY = {
    'name': 'recalc',
    'owner': 'billing',
    'tenant': 'quimperle',
    'service_class': 'batch',
}
PATH = '/v1/catalogue/recalc'


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
async def client(store):
    replica = CatalogueReplica()
    app = web.Application(client_max_size=4096)
    editor = CatalogueEditor(store, replica, AutoAdvanceClock())
    add_catalogue_routes(app, editor, replica, [ZoneName('laita'), ZoneName('isole')])
    async with TestClient(TestServer(app)) as connected:
        yield connected


async def call(client, method, path, body=None, **query):
    data = body if isinstance(body, (bytes, type(None))) else json.dumps(body)
    async with client.request(method, path, data=data, params=query) as response:
        return response.status, await response.json()


async def test_entry_is_created_read_replaced_and_deleted(client):
    query = {'author': 'ana'}
    assert await call(client, 'PUT', PATH, ENTRY, expected=0, **query) == (
        200,
        {'revision': 1},
    )
    status, body = await call(client, 'GET', PATH)
    assert (status, body['revision'], body['entry']['slots']) == (200, 1, 8)
    changed = {**ENTRY, 'slots': 4}
    status, body = await call(client, 'PUT', PATH, changed, expected=0, **query)
    assert (status, body['reason'], body['revision']) == (409, 'conflict', 1)
    assert body['diff'] == [{'field': 'slots', 'stored': 8, 'proposed': 4}]
    assert body['error']['verdict'] == 'not_run'
    assert (await call(client, 'PUT', PATH, changed, expected=1, **query))[0] == 200
    status, body = await call(client, 'GET', '/v1/catalogue')
    assert (body['entries'][0]['slots'], body['revisions']) == (4, {'recalc': 2})
    assert (await call(client, 'DELETE', PATH, expected=2, **query))[0] == 200
    assert (await call(client, 'DELETE', PATH, expected=3, **query))[0] == 404
    assert (await call(client, 'GET', PATH))[0] == 404
    status, body = await call(client, 'GET', f'{PATH}/history')
    assert [one['revision'] for one in body['versions']] == [3, 2, 1]
    assert body['versions'][0]['entry'] is None


@pytest.mark.parametrize(
    ('body', 'query', 'wanted'),
    [
        (b'{', {}, 'Invalid JSON'),
        (b'\xff', {}, 'Invalid JSON'),
        ({**ENTRY, 'slots': '4'}, {}, 'slots: Input should be a valid integer'),
        ({**ENTRY, 'slot': 4}, {}, 'slot: Extra inputs'),
        ({**ENTRY, 'name': 'other'}, {}, 'different entries'),
        ({**ENTRY, 'quota_cpu_millicores': 5}, {}, 'expected 0 or at least'),
        (ENTRY, {'expected': '-1'}, 'expected=REVISION'),
        (ENTRY, {'expected': '9' * 5000}, 'expected=REVISION'),
        (ENTRY, {'author': ' '}, 'author=NAME'),
    ],
)
async def test_bad_request_is_refused_as_not_run(client, store, body, query, wanted):
    query = {'expected': 0, 'author': 'ana', **query}
    status, response = await call(client, 'PUT', PATH, body, **query)
    assert (status, response['reason']) == (400, 'invalid')
    assert response['error']['verdict'] == 'not_run'
    assert response['error']['step'] == 'validate'
    assert wanted in response['error']['message']
    assert not store.rows


async def test_oversized_body_is_refused(client):
    status, response = await call(
        client, 'PUT', PATH, b' ' * 5000, expected=0, author='a'
    )
    assert (status, response['reason']) == (413, 'too_large')


async def test_store_outage_gives_503_and_an_unknown_outcome_504(client, store):
    query = {'expected': 0, 'author': 'ana'}
    store.failing_reads = 1
    status, body = await call(client, 'PUT', PATH, ENTRY, **query)
    assert (status, body['error']['verdict']) == (503, 'not_run')
    store.faults = ['lose_request'] * 4
    status, body = await call(client, 'PUT', PATH, ENTRY, **query)
    assert (status, body['error']['verdict']) == (504, 'outcome_unknown')
    assert body['error']['next_step']


async def test_zone_is_taken_out_and_listed(client):
    change = {'state': 'out', 'reason': 'flood'}
    path = '/v1/zones/laita'
    assert (await call(client, 'PUT', path, change, author='ana'))[0] == 200
    _, body = await call(client, 'GET', '/v1/zones')
    isole, laita = body['zones']
    assert (isole['name'], isole['state'], isole['revision']) == (
        'isole',
        'in_service',
        0,
    )
    assert (laita['state'], laita['reason'], laita['author']) == ('out', 'flood', 'ana')
    wrong = await call(client, 'PUT', '/v1/zones/lata', change, author='ana')
    assert wrong[0] == 404
    stale = await call(client, 'PUT', path, change, author='bob', expected=0)
    assert stale[0] == 409
    bad = await call(client, 'PUT', path, {'state': 'off'}, author='ana')
    assert bad[0] == 400
