"""Response to a job that no worker can run."""

import json
from datetime import timedelta

import aiohttp
import pytest
from aiohttp import web

from chiveworks.base import ManualClock, Resources
from chiveworks.capacity import CapacityRecord, ServiceCapacity, WorkerShape
from chiveworks.dispatch.tests.deployment import RecordingLog
from chiveworks.intake import CapacityCheck, JobIntake
from chiveworks.platform._client_api import ClientApi
from chiveworks.platform._client_responses import UNSERVABLE_RETRY_S
from chiveworks.platform._decoding import decode_operator_entry
from chiveworks.workflow import Tombstone, decode_record
from standins.metadata import MemoryMetadataStore

ROUTE = {'name': 'q', 'service': 's', 'host': 'h', 'prefix': '/p/'}
CONFIG = {'version': 1, 'routes': [ROUTE], 'services': [{'name': 's'}]}
SHAPE = WorkerShape(Resources(4000, 2**40))
RETRY_AFTER_S = 1


@pytest.fixture
async def interface():
    """Yields the URL of a queue, the store and the log."""
    clock = ManualClock()
    store, log = MemoryMetadataStore(clock), RecordingLog(clock)
    catalogue = decode_operator_entry('config', json.dumps(CONFIG).encode())
    check = CapacityCheck(clock, timedelta)
    check.leader_value = 'a'
    check.record = CapacityRecord('a', {'s': ServiceCapacity({SHAPE: 1})})
    intake = JobIntake(
        store,
        clock,
        log,
        refusal_reason=lambda job: check.refusal_reason(job.spec, job.queue.service),
    )
    api = ClientApi(
        intake, lambda: catalogue, lambda: False, clock, log, lambda: RETRY_AFTER_S
    )
    runner = web.ServerRunner(web.Server(api.handle))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    yield f'http://127.0.0.1:{port}/p/', store, log
    await runner.cleanup()


async def post(url, cpu):
    body = json.dumps({'steps': [{'count': 1, 'cpu': cpu, 'mem_mb': 1}]})
    async with aiohttp.ClientSession(headers={'Host': 'h'}) as session:
        async with session.post(url, data=body) as response:
            return response.status, await response.json(), response.headers


async def test_a_client_is_told_why_its_job_is_refused_and_to_stay_away(interface):
    """Guards against clients that come back every second with a job that cannot run."""
    url, store, log = interface
    status, answer, headers = await post(f'{url}{1:016x}', 4001)
    assert status == 503
    assert answer['error'].startswith('not run: step 0 cannot run on service s: ')
    assert headers['Retry-After'] == str(UNSERVABLE_RETRY_S)
    records = [decode_record('j', item.content) for item in store.items.values()]
    assert records == [Tombstone(cancelled=False)]
    (line,) = log.named('request_refused')
    assert '4001 millicores' in line['reason']


async def test_other_refusals_keep_their_time_of_return(interface):
    """Guards against clients that stay away although the store is soon back."""
    url, store, _log = interface
    assert (await post(f'{url}{1:016x}', 4000))[0] == 200
    store.faults.refuse = True
    status, _answer, headers = await post(f'{url}{2:016x}', 4001)
    assert (status, headers['Retry-After']) == (503, str(RETRY_AFTER_S))
