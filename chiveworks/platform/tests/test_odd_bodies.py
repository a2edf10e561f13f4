"""Odd requests of clients are answered with a reason and store nothing."""

import json

import aiohttp
import pytest
from aiohttp import web

from chiveworks.base import ManualClock
from chiveworks.dispatch.tests.deployment import RecordingLog
from chiveworks.intake import JobIntake
from chiveworks.platform._client_api import ClientApi
from chiveworks.platform._decoding import decode_operator_entry
from chiveworks.platform.tests.test_decoding import CONFIG
from standins.metadata import MemoryMetadataStore

JOB_ID = '5c0e7a21d94b36f8'


def job(step=None, **fields):
    return json.dumps({'steps': [{'count': 1, **(step or {})}], **fields}).encode()


ODD_BODIES = {
    'nested': b'[' * 100_000,
    'nested-steps': b'{"steps":' + b'[' * 100_000,
    'not-utf-8': b'{"spec":"\xe9"}',
    'long-integer': b'{"steps":[{"count":%s}]}' % (b'9' * 5000),
    'spec-surrogate': job(spec='\ud800'),
    'spec-list': job(spec=['x']),
    'label-surrogate': job({'requires': '\ud800'}),
    'rack-surrogate': job({'data_rack': '\ud800'}),
    'image-surrogate': job({'image': '\ud800'}),
    'text-dependency': job({'after': ['x']}),
    'after-text': job({'after': 'x'}),
    'huge-cpu': job({'cpu': 10**400}),
    'cpu-beyond-64-bits': job({'cpu': 2**65}),
    'endless-memory': job({'mem_mb': float('inf')}),
    'endless-estimate': job({'estimate_ms': float('inf')}),
    'estimate-of-2600-years': job({'estimate_ms': 86_399_999_999_999}),
    'negative-target': job({'target_ms': -5}),
    'huge-limit': job({'anti_affinity': 10**400}),
    'endless-occurrences': job(repeat_count=10**9, first_ms=0),
    'occurrences-after-the-year-9999': job(repeat_count=10_000, interval_ms=10**13),
    'negative-interval': job(repeat_count=2, interval_ms=-5),
    'text-first': job(repeat_count=2, first_ms='noon'),
}


@pytest.fixture
async def interface():
    """Yields the URL of a queue, and the store."""
    clock = ManualClock()
    store, log = MemoryMetadataStore(clock), RecordingLog(clock)
    catalogue = decode_operator_entry('config', json.dumps(CONFIG).encode())
    intake = JobIntake(store, clock, log)
    api = ClientApi(intake, lambda: catalogue, lambda: False, clock, log, lambda: 1)
    runner = web.ServerRunner(web.Server(api.handle))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    yield f'http://127.0.0.1:{port}/p/', store
    await runner.cleanup()


async def send(method, url, body=None):
    async with aiohttp.ClientSession(headers={'Host': 'h'}) as session:
        async with session.request(method, url, data=body) as response:
            return response.status, await response.read()


@pytest.mark.parametrize('body', ODD_BODIES.values(), ids=ODD_BODIES)
async def test_an_odd_body_is_refused_with_a_reason(interface, body):
    """Guards against an exception at the client, or later in each leader."""
    url, store = interface
    status, answer = await send('POST', url + JOB_ID, body)
    assert status == 400
    assert json.loads(answer)['error']
    assert not store.items
    status, _answer = await send('POST', url + JOB_ID, job(spec='x'))
    assert status == 200


@pytest.mark.parametrize('method', ['GET', 'DELETE'])
async def test_an_unreadable_record_is_answered_with_a_reason(interface, method):
    """Guards against an exception at the client of a job whose record is damaged."""
    url, store = interface
    store.put(f'chiveworks/jobs/{JOB_ID}', b'\xc1')
    status, answer = await send(method, url + JOB_ID)
    assert status == 500
    assert 'the stored record cannot be read' in json.loads(answer)['error']


@pytest.mark.parametrize('path', ['%ff', 'x' * 16, '5c0e7a21d94b36f%31%00', '%ud800'])
async def test_an_odd_id_is_refused_with_a_reason(interface, path):
    """Guards against a key that the store or a worker cannot handle."""
    url, store = interface
    status, answer = await send('POST', url + path, job())
    assert status == 400
    assert json.loads(answer)['error']
    assert not store.items
