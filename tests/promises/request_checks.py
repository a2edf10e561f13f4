"""Checks of the real request path over sockets: promises 5 to 9."""

import asyncio
import json
import random
import zlib
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import replace
from datetime import timedelta

import aiohttp
from aiohttp import web

from chiveworks.base import SystemClock, Verdict
from chiveworks.entry.tests.fake_parts import EntryServer, FakeStore, listening
from chiveworks.instances import InstanceSnapshot, InstanceState
from chiveworks.routing import Dispatcher, EndpointTable, RoutingSettings
from chiveworks.routing.tests import raw_server as raw
from chiveworks.routing.tests.test_dispatcher import instance, request
from tests.promises.check import check
from tests.promises.promise import Promise
from tests.promises.tally import Tally

_FAULTS = (
    raw.refuses,
    raw.reset_unanswered,
    raw.reset_after_headers,
    raw.truncated,
    raw.wrong_id,
    raw.never,
    raw.malformed,
    raw.undeclared_length,
    raw.stops_midway,
)
#: Faults that occur before the endpoint runs the request.
_FAULTS_BEFORE_RUN = frozenset((raw.refuses,))
#: Requests may still be in flight to an endpoint that has just announced that it is
#: leaving; promise 8 allows 3 s.
_LEAVE_MARGIN_S = 0.25


def expected_body(name: str) -> bytes:
    """Returns the answer to a request; its length depends on the request's name."""
    return f'{name};'.encode() * (1 + 997 * (zlib.crc32(name.encode()) % 7) % 4000)


class FaultyEndpoint:
    """A raw server that fails at random and counts the runs of each request."""

    def __init__(self, tally: Tally, rng: random.Random, fault_rate: float) -> None:
        self.runs: Counter[str] = Counter()
        self.server = raw.RawServer(self._answer)
        self._tally = tally
        self._rng = rng
        self._fault_rate = fault_rate
        self._previous = b''

    async def _answer(self, head, reader, writer) -> bool:
        name = raw.request_id(head).decode()
        fault = None
        if self._rng.random() < self._fault_rate:
            fault = self._rng.choice(_FAULTS)
            self._tally.fault(fault.__name__)
        if fault not in _FAULTS_BEFORE_RUN:
            self.runs[name] += 1
        await asyncio.sleep(self._rng.uniform(0, 0.02))
        if fault is not None:
            return await fault(head, reader, writer)
        answer = raw.response(head, expected_body(name))
        previous, self._previous = self._previous, answer
        sample = self._rng.random()
        if previous and sample < self._fault_rate / 5:
            self._tally.fault('answer of another request')
            answer = previous
        elif sample > 1 - self._fault_rate / 5:
            # The second copy arrives before the next request on this connection.
            self._tally.fault('answer sent twice')
            answer *= 2
        writer.write(answer)
        return True


async def create_dispatcher(
    stack: AsyncExitStack, urls: list[str], **options: object
) -> tuple[Dispatcher, EndpointTable]:
    options = {'policy': 'two_choices', **options}
    settings = RoutingSettings(retry_reserve=1000, **options)
    table = EndpointTable(SystemClock(), settings, lambda _zone: True)
    listed = tuple(instance(f'w{index}', url) for index, url in enumerate(urls))
    table.update(InstanceSnapshot(1, listed))
    dispatcher = Dispatcher(table, SystemClock(), settings)
    stack.push_async_callback(dispatcher.close)
    return dispatcher, table


@check(Promise.OWN_ANSWER, Promise.NOT_RUN, Promise.AT_MOST_ONCE, slow=True)
async def random_faults_at_the_endpoints(tally: Tally, rng: random.Random) -> None:
    """Four endpoints that fail 30 % of requests, and one whose port is closed."""
    async with AsyncExitStack() as stack:
        endpoints = [FaultyEndpoint(tally, rng, 0.3) for _ in range(4)]
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint.server.serving())
        urls = [endpoint.server.url for endpoint in endpoints]
        # The port of this endpoint is closed, so that connecting fails.
        urls.append('http://127.0.0.1:1')
        dispatcher, _ = await create_dispatcher(stack, urls, buffer_bytes=2000)

        async def one(number: int) -> None:
            idempotent = rng.random() < 0.4
            method = rng.choice(('POST', 'GET', 'PUT'))
            sent = await dispatcher.send(
                request(idempotent, timeout_s=0.5, number=number, method=method)
            )
            await _check_outcome(tally, endpoints, f'r{number}', sent, idempotent)

        for start in range(0, 400, 40):
            await asyncio.gather(*map(one, range(start, start + 40)))


async def _check_outcome(tally, endpoints, name, sent, idempotent) -> None:
    tally.operations()
    runs = sum(endpoint.runs[name] for endpoint in endpoints)
    if not idempotent and runs > 1:
        tally.violation(f'{name} ran {runs} times', Promise.AT_MOST_ONCE)
    if sent.is_err():
        verdict = sent.unwrap_err().verdict
        if verdict is Verdict.NOT_RUN and runs:
            tally.violation(f'{name}: "not run", ran {runs} times', Promise.NOT_RUN)
        return
    response = sent.unwrap()
    body = response.body
    try:
        if response.rest is not None:
            async for part in response.rest:
                body += part
    except Exception:
        # The stream raises when the answer breaks off; in production the route then
        # closes the caller's connection.
        return
    if response.status == 200 and body != expected_body(name):
        tally.violation(f'{name} got {body[:20]!r}...', Promise.OWN_ANSWER)


@check(Promise.OWN_ANSWER, Promise.NOT_RUN, Promise.AT_MOST_ONCE, slow=True)
async def random_faults_behind_the_route(tally: Tally, rng: random.Random) -> None:
    """HTTP callers, the real route and server, and one faulty endpoint."""
    async with AsyncExitStack() as stack:
        endpoint = FaultyEndpoint(tally, rng, 0.2)
        await stack.enter_async_context(endpoint.server.serving())
        entry = await stack.enter_async_context(
            EntryServer(FakeStore()).serving(endpoint.server.url)
        )
        session = await stack.enter_async_context(aiohttp.ClientSession())

        async def one(number: int) -> None:
            tally.operations()
            idempotent = rng.random() < 0.3
            service = 'fast' if idempotent else 'once'
            name = f'q{number}'
            headers = {'X-Request-Id': name, 'X-Chiveworks-Deadline-Ms': '400'}
            url = f'{entry.url}/services/{service}/x'
            try:
                async with session.post(url, headers=headers) as answer:
                    body = await answer.read()
            except aiohttp.ClientError:
                tally.fault('caller cut off')
                body = None
            runs = endpoint.runs[name]
            if not idempotent and runs > 1:
                tally.violation(f'{name} ran {runs} times', Promise.AT_MOST_ONCE)
            if body is None:
                return
            if answer.status == 200:
                if body != expected_body(name):
                    tally.violation(f'{name} got {body[:20]!r}', Promise.OWN_ANSWER)
            elif json.loads(body)['error']['verdict'] == 'not_run' and runs:
                tally.violation(f'{name}: "not run", ran', Promise.NOT_RUN)

        for start in range(0, 120, 20):
            await asyncio.gather(*map(one, range(start, start + 20)))


@check(Promise.OWN_ANSWER, slow=True)
async def large_answers_are_whole_or_visibly_broken(
    tally: Tally, rng: random.Random
) -> None:
    """Streamed answers of 1 MB, some of which break off midway."""
    size = 1_000_000

    async def stream(head, reader, writer) -> bool:
        cut = rng.random() < 0.4
        answer = raw.response(head, b'z' * size)
        if cut:
            tally.fault('answer cut off')
            writer.write(answer[: rng.randrange(100, size)])
            await writer.drain()
            return False
        writer.write(answer)
        await writer.drain()
        return True

    server = raw.RawServer(stream)
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(server.serving())
        entry = await stack.enter_async_context(
            EntryServer(FakeStore()).serving(server.url)
        )
        session = await stack.enter_async_context(aiohttp.ClientSession())
        for number in range(20):
            tally.operations()
            url = f'{entry.url}/services/once/x'
            try:
                async with session.post(url) as answer:
                    body = await answer.read()
            except aiohttp.ClientError:
                continue
            if answer.status == 200 and body != b'z' * size:
                tally.violation(f'answer {number} had {len(body)} bytes')


@check(Promise.AT_MOST_ONCE, Promise.NOT_RUN, slow=True)
async def keys_used_twice_run_once(tally: Tally, rng: random.Random) -> None:
    """Repeated idempotency keys at two entry processes while store answers are lost."""
    runs: Counter[bytes] = Counter()

    async def serve(incoming: web.Request) -> web.Response:
        body = await incoming.read()
        if rng.random() < 0.2:
            tally.fault('refused')
            refusal = {'X-Chiveworks-Not-Run': 'no slot'}
            headers = {'X-Request-Id': incoming.headers['X-Request-Id'], **refusal}
            return web.Response(status=503, headers=headers)
        runs[body] += 1
        await asyncio.sleep(rng.uniform(0, 0.05))
        headers = {'X-Request-Id': incoming.headers['X-Request-Id']}
        return web.Response(body=body, headers=headers)

    app = web.Application()
    app.router.add_route('*', '/{path:.*}', serve)
    async with AsyncExitStack() as stack:
        url = await stack.enter_async_context(listening(app))
        store = FakeStore()
        entries = [
            await stack.enter_async_context(EntryServer(store).serving(url))
            for _ in range(2)
        ]
        session = await stack.enter_async_context(aiohttp.ClientSession())

        async def post(key: str, number: int) -> tuple[int, str]:
            tally.operations()
            address = f'{entries[number % 2].url}/services/once/x'
            headers = {'Idempotency-Key': key, 'X-Request-Id': f'{key}-{number}'}
            async with session.post(
                address, headers=headers, data=key.encode()
            ) as answer:
                body = await answer.read()
                verdict = ''
                if answer.status != 200:
                    verdict = json.loads(body)['error'].get('verdict', '')
                return answer.status, verdict

        for number in range(25):
            key = f'k{number}'
            if rng.random() < 0.4:
                store.lost_answers = rng.choice((0, 1, 2))
                store.lost_writes = rng.choice((0, 1))
                tally.fault('store answer lost')
            answers = await asyncio.gather(*(post(key, one) for one in range(4)))
            store.lost_answers = store.lost_writes = 0
            if runs[key.encode()] > 1:
                tally.violation(f'{key} ran {runs[key.encode()]} times')
            served = sum(status == 200 for status, _ in answers)
            if served > 1:
                tally.violation(f'{served} of 4 callers got the answer of {key}')


@check(Promise.LEAVING, slow=True)
async def endpoints_that_leave_get_no_work(tally: Tally, rng: random.Random) -> None:
    """One of three endpoints leaves.

    It announces this, refuses requests, is listed as leaving, is removed from the
    list, or its zone is taken out.
    """
    for way in ('announced', 'refused', 'listed', 'removed', 'zone out'):
        await _check_leave(tally, rng, way)


async def _check_leave(tally: Tally, rng: random.Random, way: str) -> None:
    loop = asyncio.get_running_loop()
    left_at: list[float] = []
    late: list[float] = []

    async def serve(head, reader, writer) -> bool:
        if left_at:
            late.append(loop.time() - left_at[0])
        extra = b''
        if is_leaving:
            extra = b'X-Chiveworks-Leaving: 1\r\n'
            if not left_at:
                left_at.append(loop.time())
        if is_leaving and way == 'refused':
            extra += b'X-Chiveworks-Not-Run: leaving\r\n'
            writer.write(raw.response(head, b'', extra, b'503 Service Unavailable'))
            return True
        writer.write(raw.response(head, extra=extra))
        return True

    is_leaving: list[bool] = []
    leaver, *others = (
        raw.RawServer(serve),
        raw.RawServer(raw.healthy),
        raw.RawServer(raw.healthy),
    )
    async with AsyncExitStack() as stack:
        for server in (leaver, *others):
            await stack.enter_async_context(server.serving())
        urls = [leaver.url, *(server.url for server in others)]
        # Round robin sends requests to every endpoint, also to the leaving one.
        dispatcher, table = await create_dispatcher(stack, urls, policy='round_robin')
        in_service = [True]
        if way == 'zone out':
            table._is_in_service = lambda zone: in_service[0] or zone != 'w0-zone'
        live = tuple(instance(f'w{index}', url) for index, url in enumerate(urls))
        if way == 'zone out':
            live = (replace(live[0], zone='w0-zone'), *live[1:])
            table.update(InstanceSnapshot(2, live))
        revision = 3
        for number in range(60):
            if number == 15:
                tally.fault(f'leaves: {way}')
                if way in {'announced', 'refused'}:
                    is_leaving.append(True)
                else:
                    left_at.append(loop.time())
                if way == 'listed':
                    leaving = replace(live[0], state=InstanceState.LEAVING)
                    live = (leaving, *live[1:])
                if way == 'removed':
                    live = live[1:]
                in_service[0] = way != 'zone out'
            # The instance list lags behind: unless changed above, it still says `live`.
            table.update(InstanceSnapshot(revision, live))
            revision += 1
            sent = await asyncio.gather(
                *(
                    dispatcher.send(request(number=20 * number + one))
                    for one in range(12)
                )
            )
            tally.operations(len(sent))
            if any(one.is_err() for one in sent):
                tally.violation(f'{way}: a request failed: {sent}')
            await asyncio.sleep(0.01)
    if not left_at:
        tally.violation(f'{way}: the endpoint never received a request')
    after = [one for one in late if one > _LEAVE_MARGIN_S]
    if after:
        tally.violation(f'{way}: {len(after)} requests up to {max(after):.2f} s late')


@check(Promise.GRACEFUL_STOP, slow=True)
async def planned_stop_under_load(tally: Tally, rng: random.Random) -> None:
    """Stops at a random time with slow answers, an upload and an idle connection."""

    async def serve(incoming: web.Request) -> web.Response:
        body = await incoming.read()
        await asyncio.sleep(float(incoming.query.get('s', '0')))
        headers = {'X-Request-Id': incoming.headers['X-Request-Id']}
        return web.Response(body=body or b'z' * 300_000, headers=headers)

    app = web.Application(client_max_size=1 << 24)
    app.router.add_route('*', '/{path:.*}', serve)
    async with AsyncExitStack() as stack:
        url = await stack.enter_async_context(listening(app))
        grace = timedelta(milliseconds=200)
        entry = await stack.enter_async_context(
            EntryServer(FakeStore()).serving(url, grace=grace)
        )
        session = await stack.enter_async_context(aiohttp.ClientSession())
        idle = await asyncio.open_connection('127.0.0.1', entry.port)
        upload = await asyncio.open_connection('127.0.0.1', entry.port)
        head = b'POST /services/once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n'
        upload[1].write(head + b'abc')

        async def post(number: int) -> None:
            delay_s = rng.uniform(0, 1.6)
            address = f'{entry.url}/services/once/x?s={delay_s:.2f}'
            tally.operations()
            async with session.post(address) as answer:
                body = await answer.read()
            if answer.status != 200 or body != b'z' * 300_000:
                text = f'{answer.status}, {len(body)} bytes'
                tally.violation(f'request {number} of {delay_s:.2f} s got {text}')

        running = [asyncio.ensure_future(post(number)) for number in range(20)]
        await asyncio.sleep(rng.uniform(0.05, 0.3))
        entry.stop.set()
        tally.fault('SIGTERM')
        await asyncio.sleep(rng.uniform(0, 0.3))
        entry.stop.set()
        tally.fault('second SIGTERM')
        await asyncio.sleep(0.3)
        upload[1].write(b'def')
        tally.operations(2)
        done = await asyncio.gather(*running, return_exceptions=True)
        for error in filter(None, done):
            tally.violation(f'a request was cut off: {error!r}')
        answer = await asyncio.wait_for(upload[0].read(), 5)
        if not answer.endswith(b'abcdef'):
            tally.violation(f'the upload in progress got {answer[:80]!r}')
        if await asyncio.wait_for(idle[0].read(), 5):
            tally.violation('an idle connection got bytes')
        await asyncio.wait_for(entry.stopped, 5)
        for streams in (idle, upload):
            streams[1].close()
