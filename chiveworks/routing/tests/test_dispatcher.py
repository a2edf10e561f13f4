"""Guards against wrong verdicts, duplicate requests and mixed-up responses."""

import asyncio
import random
from collections import Counter
from contextlib import AsyncExitStack, asynccontextmanager
from datetime import timedelta

import pytest
from aiohttp import web

from chiveworks.base import (
    EntryName,
    RackName,
    RequestId,
    Step,
    SystemClock,
    Verdict,
    ZoneName,
)
from chiveworks.instances import (
    Instance,
    InstanceRole,
    InstanceSnapshot,
    InstanceState,
)
from chiveworks.routing import Dispatcher, EndpointTable, Request, RoutingSettings
from chiveworks.routing.tests import raw_server as raw

SERVICE = EntryName('compteurs')
ZONE = ZoneName('laita')
CLOSED_PORT = 'http://127.0.0.1:1'


def instance(name: str, url: str) -> Instance:
    return Instance(
        name,
        InstanceRole.WORKER,
        ZONE,
        RackName(''),
        InstanceState.LIVE,
        serve_url=url,
        services=(SERVICE,),
        slots=64,
        connections=64,
    )


def request(idempotent=False, timeout_s=2.0, number=0, **options) -> Request:
    deadline = SystemClock().monotonic() + timedelta(seconds=timeout_s)
    method = options.pop('method', 'POST')
    name = RequestId(f'r{number}')
    return Request(SERVICE, name, method, 'q', deadline, idempotent, **options)


@asynccontextmanager
async def dispatching(*urls: str, **options):
    settings = RoutingSettings(**{'policy': 'round_robin', **options})
    table = EndpointTable(SystemClock(), settings, lambda zone: True)
    listed = tuple(instance(f'w{index}', url) for index, url in enumerate(urls))
    table.update(InstanceSnapshot(1, listed))
    dispatcher = Dispatcher(table, SystemClock(), settings)
    try:
        yield dispatcher, table
    finally:
        await dispatcher.close()


FAILURE_CASES = [
    (None, Verdict.NOT_RUN, Step.CONNECT),
    (raw.refuses, Verdict.NOT_RUN, Step.WAIT),
    (raw.never, Verdict.OUTCOME_UNKNOWN, Step.WAIT),
    (raw.reset_unanswered, Verdict.OUTCOME_UNKNOWN, Step.WAIT),
    (raw.reset_after_headers, Verdict.OUTCOME_UNKNOWN, Step.WAIT),
    (raw.malformed, Verdict.OUTCOME_UNKNOWN, Step.READ),
    (raw.wrong_id, Verdict.OUTCOME_UNKNOWN, Step.READ),
    (raw.truncated, Verdict.OUTCOME_UNKNOWN, Step.READ),
    (raw.undeclared_length, Verdict.OUTCOME_UNKNOWN, Step.READ),
    (raw.stops_midway, Verdict.OUTCOME_UNKNOWN, Step.READ),
]


@pytest.mark.parametrize('method', ['POST', 'GET'])
@pytest.mark.parametrize(('behaviour', 'verdict', 'step'), FAILURE_CASES)
async def test_verdict_of_a_lone_endpoint(behaviour, verdict, step, method):
    """Guards against wrong verdicts, and a GET resent by aiohttp.

    The request is not idempotent, although GET is an idempotent method for aiohttp.
    """
    server = raw.RawServer(behaviour or raw.healthy)
    async with server.serving():
        url = server.url if behaviour else CLOSED_PORT
        async with dispatching(url, attempt_limit=2) as (dispatcher, _):
            sent = await dispatcher.send(request(timeout_s=0.3, method=method))
    failure = sent.unwrap_err()
    assert (failure.verdict, failure.step) == (verdict, step)
    if verdict is Verdict.OUTCOME_UNKNOWN:
        assert len(server.requests) == 1


@pytest.mark.parametrize(('behaviour', 'verdict', 'step'), FAILURE_CASES)
@pytest.mark.parametrize('idempotent', [True, False])
async def test_retry_elsewhere(behaviour, verdict, step, idempotent):
    """A request that may have run is retried only if it is idempotent."""
    bad, good = raw.RawServer(behaviour or raw.healthy), raw.RawServer(raw.healthy)
    async with bad.serving(), good.serving():
        # The round_robin policy starts with the second endpoint.
        urls = good.url, bad.url if behaviour else CLOSED_PORT
        async with dispatching(*urls) as (dispatcher, _):
            sent = await dispatcher.send(request(idempotent, timeout_s=1))
    may_retry = idempotent or verdict is Verdict.NOT_RUN
    assert sent.is_ok() == may_retry
    assert len(good.requests) == may_retry
    assert len(bad.requests) == (behaviour is not None)


@pytest.mark.parametrize('method', ['POST', 'GET', 'PUT'])
async def test_a_dropped_kept_alive_connection_never_sends_twice(method):
    """Guards against aiohttp resending a request on a new connection."""

    async def second_is_dropped(head, reader, writer) -> bool:
        if len(server.requests) == 2:
            return await raw.reset_unanswered(head, reader, writer)
        return await raw.healthy(head, reader, writer)

    server = raw.RawServer(second_is_dropped)
    async with server.serving(), dispatching(server.url) as (dispatcher, _):
        assert (await dispatcher.send(request(method=method))).is_ok()
        sent = await dispatcher.send(request(method=method, number=1))
        assert sent.unwrap_err().verdict is Verdict.OUTCOME_UNKNOWN
        assert (server.connections, len(server.requests)) == (1, 2)


async def test_not_run_does_not_hide_an_earlier_unknown_outcome():
    """Guards against a verdict that covers the last attempt only."""
    bad = raw.RawServer(raw.reset_unanswered)
    async with bad.serving():
        async with dispatching(CLOSED_PORT, bad.url) as (dispatcher, _):
            sent = await dispatcher.send(request(idempotent=True))
    assert sent.unwrap_err().verdict is Verdict.OUTCOME_UNKNOWN


async def test_silent_connections_are_dropped_and_probed():
    """Guards against requests that time out on dead pooled connections.

    All pooled connections stop responding while new ones still work.
    """
    silent: set[object] = set()

    async def silent_when_old(head, reader, writer) -> bool:
        if writer in silent:
            return await raw.never(head, reader, writer)
        if head.startswith(b'GET'):
            writer.write(b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n')
            return True
        old.add(writer)
        await asyncio.sleep(0.05)
        return await raw.healthy(head, reader, writer)

    old: set[object] = set()
    server = raw.RawServer(silent_when_old)
    healthy = raw.RawServer(raw.healthy)
    async with server.serving(), healthy.serving():
        async with dispatching(server.url, healthy.url) as (dispatcher, table):
            first = [request(number=number) for number in range(20)]
            done = await asyncio.gather(*map(dispatcher.send, first))
            assert all(sent.is_ok() for sent in done)
            silent |= old
            opened = server.connections
            later = [request(timeout_s=0.3, number=number) for number in range(4)]
            done = await asyncio.gather(*map(dispatcher.send, later))
            assert sum(sent.is_err() for sent in done) == 2
            await asyncio.sleep(0.2)
            assert server.connections == opened + 1
            assert not any(one.probing for one in table.endpoints(SERVICE))
            again = [request(timeout_s=1, number=number) for number in range(6)]
            done = await asyncio.gather(*map(dispatcher.send, again))
            assert all(sent.is_ok() for sent in done)


async def test_connections_idle_for_too_long_are_not_used_again():
    """Guards against requests on connections that may have died while idle."""
    server = raw.RawServer(raw.healthy)
    options = {'idle_limit': timedelta(milliseconds=50)}
    async with server.serving(), dispatching(server.url, **options) as (dispatcher, _):
        for pause_s, connections in ((0, 1), (0, 1), (0.1, 2)):
            await asyncio.sleep(pause_s)
            assert (await dispatcher.send(request())).is_ok()
            assert server.connections == connections


async def test_concurrent_requests_get_their_own_complete_responses():
    """Guards against responses that are mixed up or cut off.

    They arrive in random order; some are buffered and some streamed.
    """
    rng = random.Random(7)

    async def echo(incoming: web.Request) -> web.Response:
        body = await incoming.read()
        await asyncio.sleep(rng.uniform(0, 0.05))
        headers = {'X-Request-Id': incoming.headers['X-Request-Id']}
        return web.Response(body=body, headers=headers)

    app = web.Application(client_max_size=1 << 24)
    app.router.add_post('/serve/compteurs/q', echo)
    runner = web.AppRunner(app, access_log=None)
    async with AsyncExitStack() as stack:
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, '127.0.0.1', 0)
        await site.start()
        port = runner.addresses[0][1]
        dispatcher, table = await stack.enter_async_context(
            dispatching(f'http://127.0.0.1:{port}', buffer_bytes=10_000)
        )

        async def one(number: int) -> bool:
            body = f'{number};'.encode() * (10 if number % 3 else 100_000)
            sent = await dispatcher.send(request(number=number, body=body))
            response = sent.unwrap()
            whole = response.body
            if response.rest is not None:
                async for part in response.rest:
                    whole += part
            return bool(whole == body)

        assert all(await asyncio.gather(*map(one, range(50))))
        assert [one.in_flight for one in table.endpoints(SERVICE)] == [0]


async def test_retries_stay_within_the_budget_under_total_failure():
    """Guards against retries that multiply the load on failing endpoints."""
    bad = raw.RawServer(raw.reset_unanswered)
    async with bad.serving():
        async with dispatching(bad.url, bad.url, retry_reserve=5) as (dispatcher, _):
            for number in range(100):
                await dispatcher.send(request(idempotent=True, number=number))
    assert 100 < len(bad.requests) <= 100 + 10 + 5


async def test_an_announced_leave_takes_precedence_over_a_lagging_list():
    """Guards against requests to a leaving endpoint that is still listed as live."""

    async def leaves(head, reader, writer) -> bool:
        writer.write(raw.response(head, extra=b'X-Chiveworks-Leaving: 1\r\n'))
        return True

    leaving, good = raw.RawServer(leaves), raw.RawServer(raw.healthy)
    async with leaving.serving(), good.serving():
        async with dispatching(good.url, leaving.url) as (dispatcher, table):
            for number in range(6):
                assert (await dispatcher.send(request(number=number))).is_ok()
                listed = instance('w0', good.url), instance('w1', leaving.url)
                table.update(InstanceSnapshot(2 + number, listed))
    assert (len(leaving.requests), len(good.requests)) == (1, 5)


@pytest.mark.parametrize('idempotent', [True, False])
async def test_hedging_is_for_idempotent_requests_only(idempotent):
    """Guards against a second, concurrent run of a request that must run once."""
    slow, good = raw.RawServer(raw.never), raw.RawServer(raw.healthy)
    async with slow.serving(), good.serving():
        options = {'hedge_after': timedelta(milliseconds=30)}
        async with dispatching(good.url, slow.url, **options) as (dispatcher, _):
            sent = await dispatcher.send(request(idempotent, timeout_s=0.4))
    assert sent.is_ok() == idempotent
    assert (len(slow.requests), len(good.requests)) == (1, idempotent)


async def test_no_request_runs_twice_or_is_wrongly_reported_under_random_faults():
    """Counts runs at the endpoints; reused connections fail as well as new ones."""
    rng = random.Random(11)
    runs: Counter[str] = Counter()
    faults = [
        raw.refuses,
        raw.reset_unanswered,
        raw.reset_after_headers,
        raw.truncated,
        raw.wrong_id,
        raw.never,
    ]

    async def unreliable(head, reader, writer) -> bool:
        fault = rng.choice(faults) if rng.random() < 0.3 else raw.healthy
        if fault is not raw.refuses:
            runs[raw.request_id(head).decode()] += 1
        await asyncio.sleep(rng.uniform(0, 0.01))
        return await fault(head, reader, writer)

    servers = [raw.RawServer(unreliable) for _ in range(4)]
    async with AsyncExitStack() as stack:
        for server in servers:
            await stack.enter_async_context(server.serving())
        urls = [server.url for server in servers]
        options = {'policy': 'two_choices', 'retry_reserve': 1000}
        dispatcher, _ = await stack.enter_async_context(dispatching(*urls, **options))

        async def one(number: int) -> Verdict | None:
            method = rng.choice(['POST', 'GET', 'PUT'])
            sent = await dispatcher.send(
                request(timeout_s=0.5, number=number, method=method)
            )
            verdict = None if sent.is_ok() else sent.unwrap_err().verdict
            assert runs[f'r{number}'] == (verdict is not Verdict.NOT_RUN)
            return verdict

        verdicts: Counter[Verdict | None] = Counter()
        for start in range(0, 400, 40):
            verdicts.update(await asyncio.gather(*map(one, range(start, start + 40))))
    assert verdicts[None] > 200
    assert verdicts[Verdict.OUTCOME_UNKNOWN] > 20
