"""Calls with and without keys of client accounts."""

import asyncio
import json
from datetime import timedelta

import msgpack
import pytest

from chiveworks.base import JobId
from chiveworks.metastore import WATCH_WAIT, job_key
from chiveworks.platform.tests.keyed_process import (
    BODY,
    KEYS,
    REVOCATION_LIMIT,
    STARTED_AT,
    KeyedProcess,
    configuration,
)
from chiveworks.workflow import decode_record

JOB_ID = f'{1:016x}'
JOB = f'/p/{JOB_ID}'
KEY, OTHER_KEY = KEYS['first'], KEYS['second']
CALLS = (('POST', JOB), ('GET', JOB), ('DELETE', JOB), ('GET', '/p/'))
MAX_AGE = 0.8 * REVOCATION_LIMIT
MILLISECOND = timedelta(milliseconds=1)


@pytest.fixture
async def create(monkeypatch):
    """Yields a function that starts a process with a configuration."""
    created = []

    async def start(content=None, limit=REVOCATION_LIMIT):
        process = KeyedProcess(monkeypatch, limit)
        created.append(process)
        if content is not None:
            await process.follow(content)
        await process.listen()
        return process

    yield start
    for process in created:
        await process.close()


def refusals(process):
    """Returns the numbers of refused calls in the metrics, by reason."""
    prefix = 'chiveworks_events_total{event="request_refused",outcome="'
    lines = process.process._metrics.render().decode().splitlines()
    counts = (line.removeprefix(prefix) for line in lines if line.startswith(prefix))
    return {count.split('"')[0]: float(count.split()[-1]) for count in counts}


def logged(capfd, event):
    """Returns the lines of an event that were written since the last call."""
    lines = map(json.loads, capfd.readouterr().out.splitlines())
    return [line for line in lines if line['event'] == event]


@pytest.mark.parametrize(
    ('header', 'reason'),
    [
        (None, 'missing'),
        ('Authorization: Basic eDp5', 'missing'),
        ('Authorization: Bearer', 'missing'),
        ('Authorization: Bearer other', 'unknown'),
        ('Authorization: Bearer \xe9', 'unknown'),
    ],
)
async def test_a_call_without_a_valid_key_has_no_effect(create, header, reason):
    """Guards against calls that are served or stored for anybody."""
    process = await create(configuration(1))
    connection = await process.connect()
    for method, path in CALLS:
        connection.begin(method, path, length=len(BODY), header=header)
        connection.send(BODY)
        status, headers, body = await connection.response()
        assert (status, headers['WWW-Authenticate']) == (401, 'Bearer')
        assert set(json.loads(body)) == {'error'}
    assert not process.store.calls
    assert refusals(process) == {reason: len(CALLS)}


async def test_the_key_is_checked_after_the_route_and_before_the_rest(create):
    """Guards against answers that tell strangers more than whether a route exists."""
    process = await create()
    connection = await process.connect()
    assert await connection.status('GET', JOB) == 503
    await process.follow(configuration(1))
    assert await connection.status('GET', '/x/1') == 404
    for method, path in (('GET', '/p/x'), ('PUT', JOB), ('POST', JOB)):
        assert await connection.status(method, path, body=b'{') == 401
    assert await connection.status('GET', '/p/x', KEY) == 400
    assert await connection.status('PUT', JOB, KEY) == 405
    assert await connection.status('POST', JOB, KEY, body=b'{') == 400


async def test_a_call_with_a_key_is_served_for_its_account(create, capfd):
    """Guards against jobs without their account, and log lines without it."""
    process = await create(configuration(1))
    connection = await process.connect()
    assert await connection.status('POST', JOB, KEY, body=BODY) == 200
    (stored,) = process.store.jobs().values()
    assert decode_record(JobId(JOB_ID), stored).account == 'first'
    for method, path in CALLS[1:]:
        assert await connection.status(method, path, KEY) == 200
    lines = logged(capfd, 'job_submitted')
    assert [line['account'] for line in lines] == ['first']


async def test_a_withdrawn_key_is_refused_on_an_open_connection(create):
    """Guards against a connection that keeps the account of its first call."""
    process = await create(configuration(1))
    connection = await process.connect()
    assert await connection.status('POST', JOB, KEY, body=BODY) == 200
    await process.follow(configuration(2, names=['second']))
    for method, path in CALLS:
        assert await connection.status(method, path, KEY, body=BODY) == 401
    assert len(process.store.jobs()) == 1
    await process.follow(configuration(3))
    assert await connection.status('GET', JOB, KEY) == 200


async def test_a_key_that_is_withdrawn_while_the_body_arrives_stores_nothing(create):
    """Guards against a slow client that submits a job long after its key is gone."""
    process = await create(configuration(1))
    connection = await process.connect()
    connection.begin('POST', JOB, KEY, length=len(BODY))
    connection.send(BODY[:5])
    # A call on another connection shows that the first one is being handled.
    other = await process.connect()
    assert await other.status('GET', JOB, KEY) == 410
    await process.follow(configuration(2, names=['second']))
    connection.send(BODY[5:])
    assert (await connection.response())[0] == 401
    assert not process.store.jobs() and not process.store.calls['commit']


async def test_a_configuration_that_ages_while_the_body_arrives_stores_nothing(create):
    """Guards against a job that is stored by a key that may have been withdrawn."""
    process = await create(configuration(1))
    connection = await process.connect()
    connection.begin('POST', JOB, KEY, length=len(BODY))
    connection.send(BODY[:5])
    other = await process.connect()
    assert await other.status('GET', JOB, KEY) == 410
    process.clock.shift(MAX_AGE)
    connection.send(BODY[5:])
    assert (await connection.response())[0] == 503
    assert not process.store.jobs() and not process.store.calls['commit']


async def test_a_route_that_is_closed_while_the_body_arrives_needs_a_key(create):
    """Guards against a job without account on a route that asks for one by now."""
    route = {'name': 'r', 'host': 'h', 'service': 's', 'prefix': '/p/'}
    opened = [{**route, 'public': True}]
    process = await create(configuration(1, routes=opened))
    connection = await process.connect()
    connection.begin('POST', JOB, length=len(BODY))
    connection.send(BODY[:5])
    other = await process.connect()
    assert await other.status('GET', JOB) == 410
    await process.follow(configuration(2, routes=[route]))
    connection.send(BODY[5:])
    assert (await connection.response())[0] == 401
    assert not process.store.jobs()


async def test_a_process_that_is_cut_off_from_changes_serves_no_keys(create):
    """Guards against a process that reaches the store for writes, but not the changes
    of the configuration, and serves a key that was withdrawn."""
    process = await create(configuration(1))
    connection = await process.connect()
    process.store.cut = True
    await process.follow(configuration(2, names=['second']))
    age = process.clock.monotonic() - STARTED_AT
    process.clock.shift(MAX_AGE - MILLISECOND - age)
    assert await connection.status('POST', JOB, KEY, body=BODY) == 200
    process.clock.shift(MILLISECOND)
    process.store.calls.clear()
    for key in (KEY, OTHER_KEY):
        for method, path in CALLS:
            status, headers = await connection.call(method, path, key, body=BODY)
            assert status == 503 and int(headers['Retry-After']) >= 1
    assert not process.store.calls
    assert refusals(process) == {'unconfirmed': 8}
    process.store.cut = False
    await process.follow()
    assert await connection.status('GET', JOB, KEY) == 401
    assert await connection.status('GET', '/p/', OTHER_KEY) == 200


async def test_an_answer_confirms_the_configuration_from_when_it_was_asked_for(create):
    """Guards against a change that is stored while a watch's last answer is on its way,
    and a key that is served for a whole wait of a watch beyond the limit."""
    process = await create(configuration(1))
    connection = await process.connect()
    await process.follow()
    answered_at = process.clock.monotonic()
    age = answered_at - process.process._operator_entries.confirmed_at
    assert age == REVOCATION_LIMIT / 5
    process.clock.shift(MAX_AGE - age - MILLISECOND)
    assert await connection.status('GET', '/p/', KEY) == 200
    process.clock.shift(MILLISECOND)
    assert await connection.status('GET', '/p/', KEY) == 503


async def test_a_process_that_was_suspended_serves_no_keys_at_first(create):
    """Guards against a key that was withdrawn while the process was suspended."""
    process = await create(configuration(1))
    connection = await process.connect()
    assert await connection.status('GET', '/p/', KEY) == 200
    process.store.put('op/config', configuration(2, names=['second']))
    process.clock.shift(timedelta(minutes=10))
    assert await connection.status('GET', '/p/', KEY) == 503
    await process.follow()
    assert await connection.status('GET', '/p/', KEY) == 401
    assert await connection.status('GET', '/p/', OTHER_KEY) == 200


async def test_the_age_does_not_matter_without_a_limit(create):
    """Guards against deployments that lose calls whenever the store is away."""
    process = await create(configuration(1), limit=None)
    connection = await process.connect()
    process.store.cut = True
    process.clock.shift(timedelta(hours=1))
    await process.follow()
    assert await connection.status('POST', JOB, KEY, body=BODY) == 200
    assert await connection.status('GET', JOB, 'other') == 401
    assert process.process._operator_entries.wait == WATCH_WAIT


async def test_a_public_route_needs_no_key(create):
    """Guards against public routes that fail with the keys of others."""
    process = await create(configuration(1))
    connection = await process.connect()
    process.clock.shift(timedelta(hours=1))
    for number, key in enumerate((None, KEY, 'other')):
        path = f'/o/{number:016x}'
        assert await connection.status('POST', path, key, body=BODY) == 200
        assert await connection.status('GET', path) == 200
    for stored in process.store.jobs().values():
        assert decode_record(JobId(JOB_ID), stored).account == ''
    assert await connection.status('DELETE', f'/o/{0:016x}') == 200


async def test_a_deployment_without_accounts_checks_nothing(create, capfd):
    """Guards against calls that are refused, or cost more, where there are no keys."""
    process = await create(configuration(1, tenants=None))
    connection = await process.connect()
    process.store.cut = True
    process.clock.shift(timedelta(hours=1))
    await process.follow()
    for key in (None, 'other'):
        assert await connection.status('POST', JOB, key, body=BODY) == 200
        assert await connection.status('GET', JOB, key) == 200
    assert process.store.calls == {'commit': 2, 'read': 4}
    assert process.process._operator_entries.wait == WATCH_WAIT
    (stored,) = process.store.jobs().values()
    assert 'account' not in msgpack.unpackb(stored)
    (applied,) = logged(capfd, 'configuration_applied')
    assert 'accounts' not in applied


async def test_an_empty_list_of_accounts_refuses_all_keys(create):
    """Guards against a deployment that serves anybody after its last account is gone."""
    process = await create(configuration(1, names=[]))
    connection = await process.connect()
    for key in (None, KEY):
        assert await connection.status('POST', JOB, key, body=BODY) == 401


async def test_an_unreadable_configuration_changes_nothing_and_is_logged_once(
    create, capfd
):
    """Guards against an operator's mistake that locks out all clients."""
    process = await create(configuration(1))
    connection = await process.connect()
    twice = [{'name': name, 'api_keys': [KEY]} for name in KEYS]
    for _ in range(3):
        await process.follow(configuration(2, tenants=twice))
    assert await connection.status('GET', '/p/', OTHER_KEY) == 200
    assert len(logged(capfd, 'entry_skipped')) == 1
    await process.follow(configuration(3, names=['first']))
    assert await connection.status('GET', '/p/', KEY) == 200
    assert await connection.status('GET', '/p/', OTHER_KEY) == 401
    (applied,) = logged(capfd, 'configuration_applied')
    assert (applied['version'], applied['accounts']) == (3, 1)


async def test_the_last_of_several_versions_decides(create):
    """Guards against a key that an earlier version, or one that arrives late, allows."""
    process = await create(configuration(1))
    connection = await process.connect()
    process.store.put('op/config', configuration(2, names=['second']))
    await process.follow(configuration(3, names=['first']))
    assert await connection.status('GET', '/p/', KEY) == 200
    assert await connection.status('GET', '/p/', OTHER_KEY) == 401
    await process.follow(configuration(2, names=['second']))
    assert await connection.status('GET', '/p/', OTHER_KEY) == 401


async def test_a_job_of_another_account_is_out_of_reach(create, capfd):
    """Guards against an account that reads, cancels or replaces the job of another."""
    process = await create(configuration(1))
    connection = await process.connect()
    assert await connection.status('POST', JOB, KEY, body=BODY) == 200
    before = process.store.items[job_key(JobId(JOB_ID))]
    for method, path in (*CALLS[:3], ('GET', f'/o/{JOB_ID}')):
        key = OTHER_KEY if path == JOB else None
        assert await connection.status(method, path, key, body=BODY) == 403
    assert process.store.items[job_key(JobId(JOB_ID))] == before
    assert refusals(process) == {'foreign': 4}
    (line,) = logged(capfd, 'request_refused')
    assert (line['status'], line['account']) == (403, 'second')
    assert await connection.status('DELETE', JOB, KEY) == 200


async def test_refused_calls_cost_one_line_a_second_of_each_reason(create, capfd):
    """Guards against a flood of refused calls that fills the log, and against metrics
    that count only the logged ones."""
    process = await create(configuration(1))
    connection = await process.connect()
    for key in (None, 'other'):
        for _ in range(50):
            assert await connection.status('GET', JOB, key) == 401
    lines = logged(capfd, 'request_refused')
    assert [line['outcome'] for line in lines] == ['missing', 'unknown']
    assert refusals(process) == {'missing': 50, 'unknown': 50}
    process.clock.shift(timedelta(seconds=1))
    assert await connection.status('GET', JOB) == 401
    assert len(logged(capfd, 'request_refused')) == 1


async def test_no_key_gets_into_the_log_or_the_metrics(create, capfd, caplog):
    """Guards against keys of accounts that whoever reads the log can use."""
    process = await create(configuration(1))
    connection = await process.connect()
    await connection.status('POST', JOB, KEY, body=BODY)
    for method, path in CALLS:
        for key in (KEY, OTHER_KEY, f'{KEY}x'):
            await connection.status(method, path, key, body=b'{')
    process.clock.shift(timedelta(hours=1))
    await connection.status('GET', JOB, KEY)
    for odd in (KEY, [KEY, KEY, ''], [KEY, 5], {KEY: KEY}):
        tenants = [{'name': 'a', 'api_keys': odd}, {'name': 'b', 'api_keys': [KEY]}]
        await process.follow(configuration(2, tenants=tenants))
    await process.follow(configuration(2)[:-1])
    await process.follow(configuration(3))
    for head in (
        f'GET {JOB} HTTP/1.1\r\nAuthorization: Bearer {KEY}\x01\r\n\r\n',
        f'GET {JOB} HTTP/1.1\r\nAuthorization Bearer {KEY}\r\n\r\n',
        f'{KEY}\r\n\r\n',
    ):
        odd_connection = await process.connect()
        odd_connection.send(head.encode())
        assert (await odd_connection.response())[0] == 400
    await asyncio.sleep(0)
    captured = capfd.readouterr()
    shown = (
        captured.out,
        captured.err,
        caplog.text,
        process.process._metrics.render().decode(),
        repr(process.process._catalogue),
        repr(list(process.process._catalogue.accounts)),
    )
    for event in ('job_submitted', 'entry_skipped', 'request_unreadable'):
        assert event in captured.out
    for text in shown:
        assert KEY not in text and OTHER_KEY not in text
