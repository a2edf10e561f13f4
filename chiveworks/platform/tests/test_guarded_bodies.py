"""Bodies that the guard refuses, as the clients' interface answers them."""

import json
from contextlib import AsyncExitStack

import aiohttp
import pytest

from chiveworks.base import ManualClock, SystemClock
from chiveworks.dispatch.tests.deployment import RecordingLog
from chiveworks.guard import ClientBudget, GuardedServer, TurnAwayCounts, listen
from chiveworks.intake import IntakeLimits, JobIntake
from chiveworks.platform._client_api import ClientApi
from chiveworks.platform._decoding import decode_operator_entry
from chiveworks.platform.tests.test_decoding import CONFIG
from standins.metadata import MemoryMetadataStore

JOB = json.dumps({'steps': [{'count': 1, 'cpu': 1, 'mem_mb': 1}]}).encode()
RETRY_AFTER_S = 7
#: Room for small jobs, and not for a large one.
BUDGET = ClientBudget(connections=9, body_bytes=200_000)


@pytest.fixture
async def interface():
    """Yields the URL of a queue, the store and the log."""
    clock = ManualClock()
    store, log = MemoryMetadataStore(clock), RecordingLog(clock)
    catalogue = decode_operator_entry('config', json.dumps(CONFIG).encode())
    api = ClientApi(
        JobIntake(store, clock, log),
        lambda: catalogue,
        lambda: False,
        clock,
        log,
        lambda: RETRY_AFTER_S,
    )
    server = GuardedServer(
        api.handle, BUDGET, IntakeLimits, SystemClock(), TurnAwayCounts()
    )
    async with AsyncExitStack() as stack:
        port = await listen(server, ('127.0.0.1', 0), 9, stack)
        yield f'http://127.0.0.1:{port}/p/', store, log


@pytest.mark.parametrize(
    ('size', 'status', 'retry_after'),
    [(len(JOB), 200, None), (100_000, 503, '7'), (300_000, 413, None)],
)
async def test_a_refused_body_stores_nothing_and_is_not_logged_singly(
    interface, size, status, retry_after
):
    """Guards against a refusal of a job that runs, and a log line for each of a flood."""
    url, store, log = interface
    body = JOB + b' ' * (size - len(JOB))
    async with aiohttp.ClientSession(headers={'Host': 'h'}) as session:
        async with session.post(f'{url}{1:016x}', data=body) as response:
            assert response.status == status
            assert response.headers.get('Retry-After') == retry_after
            if status != 200:
                assert (await response.json())['error'].startswith('not run: ')
                assert response.headers['Connection'] == 'close'
    assert bool(store.items) == (status == 200)
    assert not log.named('request_refused')
    assert bool(log.named('job_submitted')) == (status == 200)
