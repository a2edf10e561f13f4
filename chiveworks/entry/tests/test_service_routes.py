"""Guards against 500s, wrong verdicts, double runs and unbounded body memory."""

import asyncio
from contextlib import AsyncExitStack
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from yarl import URL

from chiveworks.entry.tests.fake_parts import EntryServer, FakeStore, listening


class Endpoint:
    """Records the requests it runs; can delay, refuse or truncate responses."""

    def __init__(self) -> None:
        self.runs: list[bytes] = []
        self.targets: list[str] = []
        self.delay_s = 0.0
        self.refuse = False
        self.truncate_response = False

    def app(self) -> web.Application:
        app = web.Application(client_max_size=1 << 24)
        app.router.add_route('*', '/{path:.*}', self._serve)
        return app

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        headers = {'X-Request-Id': request.headers['X-Request-Id']}
        if self.refuse:
            headers['X-Chiveworks-Not-Run'] = 'no slot'
            return web.Response(status=503, headers=headers)
        body = await request.read()
        self.runs.append(body)
        self.targets.append(request.raw_path)
        await asyncio.sleep(self.delay_s)
        if self.truncate_response:
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            await response.write(b'x' * 1_000_000)
            assert request.transport
            request.transport.abort()
            return response
        return web.Response(body=body, headers=headers)


@pytest.fixture
async def parts():
    async with AsyncExitStack() as stack:
        endpoint = Endpoint()
        url = await stack.enter_async_context(listening(endpoint.app()))
        store = FakeStore()
        entries = [
            await stack.enter_async_context(EntryServer(store).serving(url))
            for _ in range(2)
        ]
        session = await stack.enter_async_context(aiohttp.ClientSession())
        yield endpoint, entries, store, session


async def failure_of(response: aiohttp.ClientResponse) -> tuple[str, str]:
    error = (await response.json())['error']
    assert error['message']
    assert 'Traceback' not in await response.text()
    return error['verdict'], error['step']


async def test_request_and_response_are_forwarded_unchanged(parts):
    endpoint, (entry, _), _, session = parts
    url = f'{entry.url}/services/fast/a%2Fb/c?x=%20y'
    headers = {'X-Request-Id': 'r1'}
    for size in (0, 10, 3_000_000):
        async with session.post(url, data=b'z' * size, headers=headers) as response:
            assert await response.read() == b'z' * size
            assert (response.status, response.headers['X-Request-Id']) == (200, 'r1')
    assert endpoint.targets[0] == '/serve/fast/a%2Fb/c?x=%20y'


@pytest.mark.parametrize(
    ('path', 'headers', 'body', 'status'),
    [
        ('/services/none/x', {}, b'', 404),
        ('/services/fast/x', {}, b'z' * 10_000_000, 413),
        ('/services/fast/x', {'X-Chiveworks-Deadline-Ms': 'soon'}, b'', 400),
        ('/services/fast/x', {'X-Chiveworks-Deadline-Ms': '0'}, b'', 400),
        ('/services/fast/x', {'X-Chiveworks-Deadline-Ms': '-5'}, b'', 400),
        ('/services/fast/x', {'X-Chiveworks-Tenant': 'a b'}, b'', 400),
        ('/services/fast/x', {'X-Request-Id': 'x' * 300}, b'', 400),
        ('/services/once/x', {'Idempotency-Key': ''}, b'', 400),
        ('/services/fast/%2e%2e/%2e%2e/control/stop', {}, b'', 400),
        ('/services/%00/x', {}, b'', 400),
    ],
)
async def test_bad_input_is_refused_as_not_run(parts, path, headers, body, status):
    endpoint, (entry, _), _, session = parts
    url = URL(f'{entry.url}{path}', encoded=True)
    async with session.post(url, headers=headers, data=body) as response:
        assert response.status == status
        assert (await failure_of(response))[0] == 'not_run'
    assert not endpoint.runs


@pytest.mark.parametrize(
    'sent',
    [
        b'POST /services/fast/x HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\nab',
        b'POST /services/fast/x HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n',
        b'POST /services/fast/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked'
        b'\r\n\r\nzz\r\n',
        b'POST /services/fast/x HTTP/1.0\r\n\r\n',
        b'GET /services/fast/x HTTP/1.1\r\nbad header\r\n\r\n',
        b'\x00\x01\x02\r\n\r\n',
    ],
)
async def test_malformed_and_cut_off_requests_never_run(parts, sent, caplog):
    endpoint, (entry, _), _, _ = parts
    reader, writer = await asyncio.open_connection('127.0.0.1', entry.port)
    writer.write(sent)
    writer.write_eof()
    response = await reader.read()
    writer.close()
    assert not response or response.split()[1].startswith(b'4')
    assert b'Traceback' not in response
    assert not endpoint.runs
    assert not [one for one in caplog.records if one.levelname == 'ERROR']


async def test_refusals_and_timeouts_have_the_right_verdict(parts):
    endpoint, (entry, _), _, session = parts
    endpoint.refuse = True
    async with session.post(f'{entry.url}/services/once/x') as response:
        assert (response.status, response.headers['Retry-After']) == (503, '1')
        assert await failure_of(response) == ('not_run', 'wait')
    endpoint.refuse, endpoint.delay_s = False, 0.5
    await asyncio.sleep(0.05)
    headers = {'X-Chiveworks-Deadline-Ms': '100'}
    async with session.post(
        f'{entry.url}/services/once/x', headers=headers
    ) as response:
        assert response.status == 504
        assert await failure_of(response) == ('outcome_unknown', 'wait')


async def test_truncated_large_response_breaks_the_connection(parts):
    endpoint, (entry, _), _, session = parts
    endpoint.truncate_response = True
    with pytest.raises(aiohttp.ClientError):
        async with session.post(f'{entry.url}/services/once/x') as response:
            await response.read()


async def test_a_key_used_on_two_entry_processes_at_once_runs_once(parts):
    endpoint, entries, _, session = parts
    endpoint.delay_s = 0.1

    async def post(number: int) -> tuple[int, dict[str, Any]]:
        url = f'{entries[number % 2].url}/services/once/x'
        headers = {'Idempotency-Key': 'k', 'X-Request-Id': f'r{number}'}
        async with session.post(url, headers=headers) as response:
            return response.status, (
                await response.json() if response.status == 409 else {}
            )

    responses = await asyncio.gather(*map(post, range(10)))
    assert sorted(status for status, _ in responses) == [200] + [409] * 9
    assert len(endpoint.runs) == 1
    status, body = await post(10)
    assert (status, body['error']['reason']) == (409, 'duplicate_key')
    assert body['error']['first']['status'] == 200


@pytest.mark.parametrize('fault', ['lost_answers', 'lost_writes'])
async def test_request_whose_claim_response_was_lost_runs_once(parts, fault):
    endpoint, (entry, _), store, session = parts
    setattr(store, fault, 1)
    headers = {'Idempotency-Key': 'k'}
    for status in (200, 409):
        url = f'{entry.url}/services/once/x'
        async with session.post(url, headers=headers) as response:
            assert response.status == status
    assert len(endpoint.runs) == 1


async def test_a_key_of_a_request_that_was_not_run_can_be_used_again(parts):
    endpoint, (entry, _), store, session = parts
    headers = {'Idempotency-Key': 'k'}
    url = f'{entry.url}/services/once/x'
    endpoint.refuse = True
    async with session.post(url, headers=headers) as response:
        assert response.status == 503
    endpoint.refuse = False
    store.unavailable = True
    async with session.post(url, headers=headers) as response:
        assert (response.status, response.headers['Retry-After']) == (503, '1')
        assert await failure_of(response) == ('not_run', 'claim')
    store.unavailable = False
    # The router avoids an endpoint for a short time after it refused a request.
    await asyncio.sleep(0.05)
    async with session.post(url, headers=headers) as response:
        assert response.status == 200
    assert len(endpoint.runs) == 1


async def test_outcomes_are_recorded_when_the_store_returns_after_an_outage(parts):
    """Otherwise the key would stay in the state `running` until it expires."""
    endpoint, (entry, _), store, session = parts
    endpoint.delay_s = 0.1
    headers = {'Idempotency-Key': 'k'}
    url = f'{entry.url}/services/once/x'
    running = asyncio.ensure_future(session.post(url, headers=headers))
    while not endpoint.runs:
        await asyncio.sleep(0.01)
    store.unavailable = True
    assert (await running).status == 200
    store.unavailable = False
    await asyncio.sleep(0.2)
    async with session.post(url, headers=headers) as response:
        assert (await response.json())['error']['first']['status'] == 200


async def test_a_claim_that_appears_after_its_request_was_refused_is_removed(parts):
    endpoint, (entry, _), store, session = parts
    store.lost_answers = 1
    headers = {'Idempotency-Key': 'k'}
    url = f'{entry.url}/services/once/x'
    store.unavailable_after_writes = True
    async with session.post(url, headers=headers) as response:
        assert (response.status, await failure_of(response)) == (
            503,
            ('not_run', 'claim'),
        )
    assert store.entries
    store.unavailable_after_writes = store.unavailable = False
    await asyncio.sleep(0.3)
    async with session.post(url, headers=headers) as response:
        assert response.status == 200
    assert len(endpoint.runs) == 1


async def test_total_size_of_buffered_bodies_is_limited(parts):
    """Otherwise a burst of large bodies could exhaust the memory of the process.

    The service has a long deadline, since the first attempt may take half of it and
    a busy machine needs over a second to forward the accepted bodies.
    """
    endpoint, (entry, _), _, session = parts
    endpoint.delay_s = 0.5

    async def post() -> int:
        url = f'{entry.url}/services/bulk/x'
        async with session.post(url, data=b'z' * 4_000_000) as response:
            await response.read()
            return int(response.status)

    statuses = await asyncio.gather(*(post() for _ in range(24)))
    assert set(statuses) == {200, 503}
