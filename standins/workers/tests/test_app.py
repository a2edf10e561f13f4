"""Tests that the HTTP client and the stand-in agree on the wire format."""

import asyncio
import hashlib
from datetime import timedelta

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from chiveworks.base import (
    Attempt,
    Epoch,
    Failure,
    Resources,
    SystemClock,
    TaskId,
    TicketMs,
    Verdict,
)
from chiveworks.workers import (
    HttpWorkerControl,
    RefusalReason,
    Renewal,
    ReportedState,
    StartOrder,
)
from standins.workers import WorkerSpec, create_app

EPOCH = Epoch(1)


@pytest.fixture
async def base():
    spec = WorkerSpec('w0', slots=1, service_ms=50)
    async with TestServer(create_app(SystemClock(), (spec,))) as server:
        yield str(server.make_url('/w/w0'))


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as opened:
        yield opened


@pytest.fixture
def control(session, base):
    return HttpWorkerControl(session, base, timeout=timedelta(milliseconds=300))


def order(ticket, task='t', payload='{"duration_ms": 5000}'):
    return StartOrder(
        EPOCH, ticket, TaskId(task), Attempt(1), 'k', payload, Resources(100, 5, 1)
    )


async def renew(control, ticket=0):
    renewal = Renewal('o', EPOCH, 15_000, TicketMs(ticket))
    return (await control.renew(renewal)).unwrap()


async def set_faults(session, base, **fields):
    async with session.post(f'{base}/faults', json=fields) as response:
        assert response.status == 200


async def test_control_round_trip(control):
    first = await renew(control)
    refused = (await control.start(order(first.ticket))).unwrap_err()
    assert refused.reason is RefusalReason.NOT_LEASED
    leased = await renew(control, first.ticket)
    assert 0 < leased.lease_left_ms <= 15_000
    assert (await control.start(order(leased.ticket))).is_ok()
    key = (EPOCH, TaskId('t'), Attempt(1))
    assert (await control.throttle(*key, 0.5)).is_ok()
    assert (await control.resize(*key, 700)).is_ok()
    running = (await renew(control, leased.ticket)).tasks[0]
    assert running.allotted == Resources(700, 5, 1)
    assert (await control.stop(*key, checkpoint=True)).is_ok()
    stopped = (await renew(control, leased.ticket)).tasks[0]
    assert stopped.state is ReportedState.STOPPED
    unknown = await control.stop(EPOCH, TaskId('x'), Attempt(1), checkpoint=False)
    assert unknown.unwrap_err().reason is RefusalReason.UNKNOWN_TASK


async def test_start_with_lost_response_is_unknown_and_listed(control, session, base):
    ticket = (await renew(control, (await renew(control)).ticket)).ticket
    await set_faults(session, base, drop_start_answers=1)
    failure = (await control.start(order(ticket))).unwrap_err()
    assert isinstance(failure, Failure)
    assert failure.verdict is Verdict.OUTCOME_UNKNOWN
    assert [task.task_id for task in (await renew(control)).tasks] == ['t']


async def test_silenced_connection_times_out_and_a_new_one_works(
    control, session, base
):
    await renew(control)
    await set_faults(session, base, silent=True)
    renewal = Renewal('o', EPOCH, 15_000, TicketMs(0))
    failure = (await control.renew(renewal)).unwrap_err()
    assert failure.verdict is Verdict.OUTCOME_UNKNOWN
    assert (await control.renew(renewal)).is_ok()


async def test_frozen_worker_responds_late(control, session, base):
    await set_faults(session, base, frozen_ms=400)
    late = await control.renew(Renewal('o', EPOCH, 15_000, TicketMs(0)))
    assert late.unwrap_err().verdict is Verdict.OUTCOME_UNKNOWN
    assert (await control.renew(Renewal('o', EPOCH, 15_000, TicketMs(0)))).is_ok()


async def test_serving_holds_a_slot_and_echoes_the_request(session, base):
    async def send(request_id):
        headers = {'X-Request-Id': request_id}
        url = f'{base}/serve/compteurs/readings?size_bytes=100000'
        async with session.post(url, data=b'abc', headers=headers) as response:
            body = await response.json() if response.status == 200 else {}
            return response.status, response.headers, body

    outcomes = await asyncio.gather(send('a'), send('b'))
    statuses = sorted(outcome[0] for outcome in outcomes)
    assert statuses == [200, 503]
    _, headers, body = min(outcomes, key=lambda outcome: outcome[0])
    assert headers['X-Request-Id'] == body['request_id']
    assert body['sha256'] == hashlib.sha256(b'abc').hexdigest()
    assert len(body['padding']) == 100_000
    await set_faults(session, base, leaving=True)
    status, headers, _ = await send('c')
    assert (status, headers['X-Chiveworks-Leaving']) == (503, '1')
    assert headers['X-Chiveworks-Not-Run'] == '1'
    async with session.get(f'{base}/log') as response:
        assert (await response.json())['requests'] == {body['request_id']: 1}
