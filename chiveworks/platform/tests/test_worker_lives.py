"""Tests which life of a worker executes starts and polls, over real connections."""

import asyncio
import json
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest

from chiveworks.base import JobId
from chiveworks.dispatch import OrderOutcome, StartOrder, WorkerInfo
from chiveworks.platform._worker_client import HttpWorker
from chiveworks.workflow import TaskRef

REF = TaskRef(JobId('0123456789abcdef'), 0, 0, 0)
FIRST, SECOND = 1000, 2000
LEASE_END = timedelta(seconds=9)
NO_WAIT = timedelta()


class Life:
    """One life of a worker; records the calls that it executes.

    Args:
        born_ms: Start time of the life.

    Attributes:
        starts: Bodies of the starts.
        polls: Bodies of the polls.
        refusal: Status and reason with which polls are refused, if any.
    """

    def __init__(self, born_ms):
        self.starts = []
        self.polls = []
        self.refusal = None
        self._born_ms = born_ms
        self._writers = []

    async def handle(self, reader, writer):
        self._writers.append(writer)
        while request_line := await reader.readline():
            length = 0
            while (header := await reader.readline()).strip():
                if header.lower().startswith(b'content-length:'):
                    length = int(header.partition(b':')[2])
            body = json.loads(await reader.readexactly(length))
            status, answer = self._answer(request_line.split()[1].decode(), body)
            text = json.dumps(answer).encode()
            head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(text)}\r\n\r\n'
            writer.write(head.encode() + text)
        writer.close()

    def end(self):
        """Ends the life and its connections."""
        for writer in self._writers:
            writer.transport.abort()

    def _answer(self, path, body):
        if path != '/v1/hold':
            self.starts.append(body)
            return 200, {'clock_ms': 5}
        self.polls.append(body)
        if self.refusal is not None:
            status, reason = self.refusal
            return status, {'clock_ms': 5, 'reason': reason}
        report = {'clock_ms': 5, 'running': [], 'finished': []}
        return 200, {**report, 'born': self._born_ms} if self._born_ms else report


class Place:
    """Address at which the lives of a worker follow each other."""

    def __init__(self, life):
        self.life = life

    async def handle(self, reader, writer):
        await self.life.handle(reader, writer)

    async def begin(self, life):
        """Ends the current life and begins the next one."""
        self.life.end()
        self.life = life
        await asyncio.sleep(0.01)


@asynccontextmanager
async def reaching(life):
    """Yields the place of a worker and a client of it."""
    place = Place(life)
    listener = await asyncio.start_server(place.handle, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    worker = HttpWorker(WorkerInfo.unlisted('w', f'127.0.0.1:{port}'))
    try:
        yield place, worker
    finally:
        await worker.close()
        listener.close()
        place.life.end()
        await asyncio.sleep(0)


def poll(worker, acknowledged, born_ms):
    return worker.poll(1, acknowledged, LEASE_END, NO_WAIT, born_ms)


def start(worker, born_ms):
    return worker.start(StartOrder(REF, 1, '', LEASE_END, 1, born_ms=born_ms))


async def test_polls_for_a_former_life_neither_acknowledge_nor_extend():
    """Guards against ends of a new life that are forgotten unseen, and against a lease of
    it that lasts longer than the scheduler assumes."""
    first, second = Life(FIRST), Life(SECOND)
    async with reaching(first) as (place, worker):
        for _ in range(2):
            await poll(worker, 57, FIRST)
        assert [body['last_seen'] for body in first.polls] == [0, 57]
        assert 'until_ms' in first.polls[1]
        await place.begin(second)
        reports = [await poll(worker, 57, FIRST) for _ in range(3)]
        assert {report.ok_value.born_ms for report in reports} == {SECOND}
        assert {body['last_seen'] for body in second.polls} == {0}
        assert not any('until_ms' in body for body in second.polls)
        await poll(worker, 1, SECOND)
        assert second.polls[-1]['last_seen'] == 1


async def test_a_start_for_a_former_life_is_refused():
    """Guards against a run on a new life that was claimed for the former one."""
    first, second = Life(FIRST), Life(SECOND)
    async with reaching(first) as (place, worker):
        assert await start(worker, FIRST) is OrderOutcome.ACCEPTED
        await place.begin(second)
        assert await start(worker, FIRST) is OrderOutcome.GONE
        assert await start(worker, SECOND) is OrderOutcome.ACCEPTED
        assert await start(worker, FIRST) is OrderOutcome.GONE
        assert (len(first.starts), len(second.starts)) == (1, 1)


async def test_one_check_serves_all_starts_on_a_connection():
    """Guards against a look at the worker for each start, which the platform prices."""
    life = Life(FIRST)
    async with reaching(life) as (_, worker):
        for _ in range(5):
            assert await start(worker, FIRST) is OrderOutcome.ACCEPTED
        assert (len(life.polls), len(life.starts)) == (1, 5)


@pytest.mark.parametrize(
    ('refusal', 'outcome'),
    [
        ((409, 'fence'), OrderOutcome.FENCED),
        ((421, ''), OrderOutcome.GONE),
        ((503, ''), OrderOutcome.UNHEALTHY),
        ((500, ''), OrderOutcome.UNHEALTHY),
    ],
)
async def test_a_start_whose_check_is_refused_has_not_run(refusal, outcome):
    """Guards against a start of unknown outcome that was never sent."""
    life = Life(FIRST)
    life.refusal = refusal
    async with reaching(life) as (_, worker):
        assert await start(worker, FIRST) is outcome
        assert not life.starts


async def test_workers_that_name_no_start_time_are_told_apart_by_connection():
    """Guards against a worker without `born` in its reports that gets no starts."""
    first, second = Life(0), Life(0)
    async with reaching(first) as (place, worker):
        assert await start(worker, FIRST) is OrderOutcome.ACCEPTED
        for _ in range(2):
            await poll(worker, 57, FIRST)
        assert first.polls[-1]['last_seen'] == 57
        await place.begin(second)
        await poll(worker, 57, FIRST)
        assert [body['last_seen'] for body in second.polls] == [0]
