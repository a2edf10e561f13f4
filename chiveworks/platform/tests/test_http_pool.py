"""Connections to the platform: reuse, limits, lost responses and stalls."""

import asyncio
import time
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest

from chiveworks.base import Step, Verdict
from chiveworks.platform._http_pool import HttpPool

RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class Server:
    """Counts connections and requests; a script answers each request."""

    def __init__(self, answer):
        self.connections = 0
        self.requests = 0
        self._answer = answer
        self._writers = []

    def open_connections(self):
        return list(self._writers)

    def close(self):
        for writer in self._writers:
            writer.transport.abort()

    async def handle(self, reader, writer):
        self.connections += 1
        self._writers.append(writer)
        while await reader.readline():
            while (await reader.readline()).strip():
                pass
            self.requests += 1
            await self._answer(writer)
        writer.close()


async def answer_at_once(writer):
    writer.write(RESPONSE)


async def answer_late(writer):
    await asyncio.sleep(0.05)
    writer.write(RESPONSE)


async def break_off(writer):
    writer.write(RESPONSE[:20])
    writer.close()


async def answer_nonsense(writer):
    writer.write(b'hello\r\n\r\n')


async def stay_silent(_writer):
    """Never answers."""


class Answers:
    """Answers late, but on some connections not at all from some moment on."""

    def __init__(self):
        self._silent = []

    def silence(self, server, count=None):
        """Silences the last `count` open connections, or all of them."""
        writers = server.open_connections()
        self._silent = writers if count is None else writers[-count:]

    async def answer(self, writer):
        if writer not in self._silent:
            await answer_late(writer)


@asynccontextmanager
async def serving(answer, limit=4):
    server = Server(answer)
    listener = await asyncio.start_server(server.handle, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    pool = HttpPool(f'127.0.0.1:{port}', {}, limit)
    try:
        yield server, pool
    finally:
        pool.close()
        listener.close()
        server.close()
        await asyncio.sleep(0)


async def get(pool, timeout_s=0.3, writes=True):
    return await pool.call(
        'POST',
        '/',
        Step.SEND,
        query=None,
        body=b'',
        timeout=timedelta(seconds=timeout_s),
        writes=writes,
    )


async def test_connections_are_reused():
    """Guards against a connection for each request, which costs more than a request."""
    async with serving(answer_at_once) as (server, pool):
        for _ in range(5):
            assert (await get(pool)).ok_value.body == b'ok'
        assert (server.connections, server.requests) == (1, 5)


async def test_simultaneous_requests_share_a_few_connections():
    """Guards against as many connections as tasks that start at once on a worker."""
    async with serving(answer_late, limit=3) as (server, pool):
        results = await asyncio.gather(*(get(pool, 2) for _ in range(12)))
        assert all(result.is_ok() for result in results)
        assert server.connections == 3


async def test_one_request_finds_out_that_all_connections_are_silent():
    """Guards against one timeout after the other once all open connections have gone
    silent for good: each further request took one of them although new ones work."""
    server_answers = Answers()
    async with serving(server_answers.answer) as (server, pool):
        await asyncio.gather(*(get(pool, 2) for _ in range(4)))
        server_answers.silence(server)
        assert (await get(pool)).err_value.verdict is Verdict.OUTCOME_UNKNOWN
        results = await asyncio.gather(*(get(pool) for _ in range(4)))
        assert [result.is_ok() for result in results] == [True] * 4


async def test_a_slow_response_does_not_close_connections_that_work():
    """Guards against new connections for all requests because one has no response."""
    server_answers = Answers()
    async with serving(server_answers.answer) as (server, pool):
        await asyncio.gather(*(get(pool, 2) for _ in range(2)))
        server_answers.silence(server, count=1)
        slow = asyncio.create_task(get(pool, 0.3))
        await asyncio.sleep(0.05)
        for _ in range(3):
            assert (await get(pool)).is_ok()
        assert (await slow).is_err()
        assert (await get(pool)).is_ok()
        assert server.connections == 2


async def test_a_request_that_gets_no_connection_in_time_has_not_run():
    """Guards against an unknown outcome of a request that was never sent."""
    async with serving(stay_silent, limit=1) as (server, pool):
        first, second = await asyncio.gather(get(pool, 0.3), get(pool, 0.1))
        assert first.err_value.verdict is Verdict.OUTCOME_UNKNOWN
        assert second.err_value.verdict is Verdict.NOT_RUN
        assert server.requests == 1


@pytest.mark.parametrize('answer', [break_off, answer_nonsense, stay_silent])
@pytest.mark.parametrize('writes', [True, False])
async def test_a_lost_response_leaves_the_outcome_of_a_write_unknown(answer, writes):
    """Guards against "not run" for an order that a worker may have carried out."""
    async with serving(answer) as (_server, pool):
        failure = (await get(pool, 0.1, writes)).err_value
        expected = Verdict.OUTCOME_UNKNOWN if writes else Verdict.NOT_RUN
        assert failure.verdict is expected
        assert failure.step is Step.SEND


async def test_a_refused_connection_means_not_run():
    """Guards against a stop for a start that was never sent."""
    async with serving(answer_at_once) as (_server, pool):
        pass
    assert (await get(pool)).err_value.verdict is Verdict.NOT_RUN


async def test_an_abandoned_request_does_not_leave_its_response_to_the_next():
    """Guards against the response of another request."""
    async with serving(answer_late) as (server, pool):
        abandoned = asyncio.create_task(get(pool))
        await asyncio.sleep(0.02)
        abandoned.cancel()
        await asyncio.gather(abandoned, return_exceptions=True)
        assert (await get(pool)).is_ok()
        assert server.connections == 2


async def test_a_response_that_arrived_during_a_stall_counts():
    """Guards against workers that seem silent because this process was busy."""
    async with serving(answer_late) as (_server, pool):
        call = asyncio.create_task(get(pool, 0.1))
        # The response is sent at the end of the stall, after which the time is over.
        await asyncio.sleep(0.045)
        time.sleep(0.2)
        assert (await call).is_ok()


async def test_closing_fails_requests_in_progress():
    """Guards against a session that waits for a connection which may be dead."""
    async with serving(stay_silent) as (_server, pool):
        call = asyncio.create_task(get(pool, 60))
        await asyncio.sleep(0.05)
        pool.close()
        assert (await call).err_value.verdict is Verdict.OUTCOME_UNKNOWN
