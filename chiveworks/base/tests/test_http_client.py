"""Guards against wrong verdicts and against unneeded headers in control traffic."""

import asyncio
from datetime import timedelta

import aiohttp
import pytest

from chiveworks.base import Failure, Revision, Step, Verdict
from chiveworks.base._http_client import HttpClient
from chiveworks.store import HttpStore

OK_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
LIMIT = timedelta(milliseconds=200)


class RawServer:
    """Responds to each request with the next of the given byte strings.

    None stands for no response within the time limit. The connection is closed
    after anything but the regular response.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.requests = []
        self.connections = 0

    async def handle(self, reader, writer):
        self.connections += 1
        while self.responses:
            try:
                self.requests.append(await reader.readuntil(b'\r\n\r\n'))
            except asyncio.IncompleteReadError:
                break
            response = self.responses.pop(0)
            if response is None:
                await asyncio.sleep(2 * LIMIT.total_seconds())
                break
            writer.write(response)
            if response != OK_RESPONSE:
                break
        writer.close()


async def call(server, times=1, method='PUT', **options):
    async with (
        await asyncio.start_server(server.handle, '127.0.0.1', 0) as listener,
        aiohttp.ClientSession() as session,
    ):
        port = listener.sockets[0].getsockname()[1]
        client = HttpClient(session, f'http://127.0.0.1:{port}', LIMIT, LIMIT)
        for _ in range(times):
            outcome = await client.call(method, '/x', Step.START, **options)
    return outcome


@pytest.mark.parametrize(
    'broken',
    [
        b'',
        OK_RESPONSE[:-1],
        OK_RESPONSE[:10],
        None,
        b'HTTP/1.1 500 \r\nContent-Length: 0\r\n\r\n',
    ],
    ids=['closed', 'short body', 'short head', 'no response', 'server error'],
)
@pytest.mark.parametrize('earlier', [(), (OK_RESPONSE,)], ids=['new', 'reused'])
async def test_failure_past_the_connection_is_unknown_for_writes(broken, earlier):
    """Guards against "not run" for a write that the server may have applied.

    Also guards against aiohttp's own retries, which could apply a write twice.
    """
    server = RawServer(*earlier, broken, OK_RESPONSE)
    failure = (await call(server, times=len(earlier) + 1)).unwrap_err()
    assert (failure.verdict, failure.step) == (Verdict.OUTCOME_UNKNOWN, Step.START)
    assert len(server.requests) == len(earlier) + 1
    read = await call(RawServer(broken), method='GET', writes=False)
    assert read.unwrap_err().verdict is Verdict.NOT_RUN


@pytest.mark.parametrize(
    ('status', 'verdict'),
    [
        (202, Verdict.OUTCOME_UNKNOWN),
        (404, Verdict.NOT_RUN),
        (429, Verdict.NOT_RUN),
        (502, Verdict.OUTCOME_UNKNOWN),
        (503, Verdict.NOT_RUN),
    ],
)
async def test_unexpected_status_of_a_write(status, verdict):
    """Guards against a verdict that contradicts the status of the response."""
    server = RawServer(f'HTTP/1.1 {status} \r\nContent-Length: 0\r\n\r\n'.encode())
    async with (
        await asyncio.start_server(server.handle, '127.0.0.1', 0) as listener,
        aiohttp.ClientSession() as session,
    ):
        port = listener.sockets[0].getsockname()[1]
        store = HttpStore(session, f'http://127.0.0.1:{port}')
        failure = (await store.compare_and_swap('k', b'', Revision(0))).unwrap_err()
        assert isinstance(failure, Failure)
        assert failure.verdict is verdict


async def test_connection_is_not_reused_after_a_timeout():
    """Guards against a late response that is read as that of the next request."""
    server = RawServer(None, OK_RESPONSE)
    assert (await call(server, times=2)).is_ok()
    assert server.connections == 2


async def test_request_carries_no_headers_but_the_needed_ones():
    """Guards against control traffic above its budget of 2 KB/s per instance."""
    server = RawServer(OK_RESPONSE)
    await call(server, body=None, method='POST')
    names = [line.split(b':')[0] for line in server.requests[0].splitlines()[1:-1]]
    assert names == [b'Host', b'Content-Length']


async def test_exhausted_pool_is_not_run():
    """Guards against an unknown outcome for a request that got no connection."""
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=1)
    ) as session:
        server = RawServer(None)
        async with await asyncio.start_server(
            server.handle, '127.0.0.1', 0
        ) as listener:
            port = listener.sockets[0].getsockname()[1]
            base_url = f'http://127.0.0.1:{port}'
            slow_client = HttpClient(session, base_url, LIMIT * 2, LIMIT)
            pending_call = asyncio.ensure_future(
                slow_client.call('PUT', '/x', Step.START)
            )
            await asyncio.sleep(0.05)
            client = HttpClient(session, base_url, LIMIT, LIMIT / 4)
            failure = (await client.call('PUT', '/x', Step.START)).unwrap_err()
            assert (failure.verdict, failure.step) == (Verdict.NOT_RUN, Step.CONNECT)
            await pending_call
