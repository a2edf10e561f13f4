"""Tests of the promises with real processes: signals, sockets, separate clocks.

They guard against violations of docs/design.md, section 1, that the checks on a
simulated clock cannot detect.
"""

import asyncio
import json
import signal
import time

import pytest
import pytest_asyncio

from examples.fleet import FleetShape
from tests.processes.linked_fleet import LinkedFleet

FAST_RENEWALS = {'worker_renew_ms': 1000, 'idle_worker_renew_ms': 1000}
ONE_ZONE = FleetShape(('laita',), (3,), 3, 'compteurs', 0.5)
TWO_ZONES = FleetShape(('laita', 'isole'), (2, 2), 1, 'compteurs', 0.5)
pytestmark = [pytest.mark.asyncio(loop_scope='module'), pytest.mark.timeout(60)]


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def fleet(tmp_path_factory):
    directory = tmp_path_factory.mktemp('promises')
    async with LinkedFleet(ONE_ZONE, directory, FAST_RENEWALS) as started:
        await started.apply_catalogue()
        await _until_served(started, 'laita-e0')
        yield started


async def _until_served(fleet, name, limit_s=15):
    deadline = time.monotonic() + limit_s
    status = 0
    while status != 200 and time.monotonic() < deadline:
        status, _ = await fleet.call(name)
        await asyncio.sleep(0.1)
    assert status == 200


async def _wait_owner(fleet, limit_s=20):
    """Returns the owner of `laita`, or '' if no process reports one in time."""
    deadline = time.monotonic() + limit_s
    owner = ''
    while not owner and time.monotonic() < deadline:
        try:
            owner = await fleet.owner_of('laita')
        except (OSError, RuntimeError):
            await asyncio.sleep(0.2)
    return owner


async def _send_raw(fleet, name, sent):
    port = int(fleet.entry_urls[name].rpartition(':')[2])
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(sent)
    writer.write_eof()
    answer = await asyncio.wait_for(reader.read(), 15)
    writer.close()
    return answer


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'headers', 'statuses'),
    [
        ('POST', '/services/compteurs/q', b'z' * 10_000_000, {}, {413}),
        ('POST', '/v1/jobs', b'{"tenant": ', {}, {400}),
        ('POST', '/v1/jobs', b'z' * 10_000_000, {}, {413}),
        ('PUT', '/v1/catalogue/x?expected=0&author=t', b'[[', {}, {400}),
        ('POST', '/services/nowhere/q', b'', {}, {404}),
        ('POST', '/services/compteurs/q', b'', {'X-Chiveworks-Tenant': 'a b'}, {400}),
        ('GET', '/no/such/path', b'', {}, {404}),
    ],
)
async def test_bad_input_gets_a_json_error(
    fleet, method, path, body, headers, statuses
):
    """Guards against status 500 and stack traces in answers."""
    url = fleet.entry_urls['laita-e0'] + path
    async with fleet.http.request(method, url, data=body, headers=headers) as answer:
        text = await answer.text()
    assert answer.status in statuses, text[:200]
    assert json.loads(text)['error']['message']
    assert 'Traceback' not in text


@pytest.mark.parametrize(
    'sent',
    [
        b'POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n{"a"',
        b'POST /services/compteurs/q HTTP/1.1\r\nHost: h\r\nbad header\r\n\r\n',
        b'\x16\x03\x01\x00\xa5\r\n\r\n',
    ],
)
async def test_malformed_requests_get_no_stack_trace(fleet, sent):
    """Guards against stack traces in answers and logs after unparsable requests."""
    answer = await _send_raw(fleet, 'laita-e0', sent)
    assert not answer or answer.split()[1].startswith(b'4'), answer[:200]
    assert b'Traceback' not in answer
    assert 'Traceback' not in fleet.logs()


async def test_a_store_that_drops_answers_takes_a_job_once(fleet):
    """Guards against jobs that are registered twice or lost after a lost answer."""
    await fleet.store_faults(drop_answer_next=3)
    status, body = await fleet.submit('dropped', 'laita-e0')
    for _ in range(20):
        if status in {200, 202}:
            break
        assert body['error']['verdict'] in {'not_run', 'outcome_unknown'}
        await asyncio.sleep(0.3)
        status, body = await fleet.submit('dropped', 'laita-e0')
    assert status in {200, 202}, body
    assert await fleet.wait_final('dropped', 'laita-e0', 30) == 'finished'
    audit = await fleet.audit()
    assert not audit.duplicated_tasks()
    assert not audit.overcommitted


@pytest.mark.parametrize('mode', ['silent_established', 'accept_and_ignore'])
async def test_silent_connections_to_an_endpoint_are_survived(fleet, mode):
    """Guards against requests that are still sent to connections that never answer."""
    async with fleet.http.get(f'{fleet.instances_url}/v1/instances') as answer:
        instances = (await answer.json())['instances']
    worker = next(one for one in instances if one['id'] == 'laita-w0')
    served = worker['serve_url']
    host, _, path = served.removeprefix('http://').partition('/')
    link = await fleet.add_link(f'endpoint-{mode}', host)
    worker['serve_url'] = f'{link.url}/{path}'
    url = f'{fleet.instances_url}/v1/instances/laita-w0'
    async with fleet.http.put(url, json=worker) as answer:
        answer.raise_for_status()
    await asyncio.sleep(1)
    done = await asyncio.gather(*(fleet.call('laita-e0') for _ in range(12)))
    assert {status for status, _ in done} == {200}
    await link.set_mode(mode)
    deadline = {'X_Chiveworks_Deadline_Ms': '700'}
    statuses = []
    for _ in range(8):
        done = await asyncio.gather(
            *(fleet.call('laita-e0', **deadline) for _ in range(6))
        )
        statuses.append([status for status, _ in done])
        for status, body in done:
            if status != 200:
                assert json.loads(body)['error']['verdict'] in {
                    'not_run',
                    'outcome_unknown',
                }
    worker['serve_url'] = served
    async with fleet.http.put(url, json=worker) as answer:
        answer.raise_for_status()
    # The first requests may fail; the last ones must avoid the silent connections.
    assert set(statuses[-1]) == {200}, statuses


async def test_frozen_and_killed_owners_neither_lose_nor_duplicate_tasks(fleet):
    """Guards against lost or duplicated tasks when owners change twice.

    The first owner gets SIGSTOP for longer than its lease in the store, then SIGCONT;
    its successor gets SIGKILL.
    """
    await fleet.submit('frozen', 'laita-e0', 8, 8000)
    await asyncio.sleep(1.5)
    frozen = await _wait_owner(fleet)
    fleet.suspend(frozen)
    other = next(name for name in fleet.entries if name != frozen)
    await asyncio.sleep(8)
    fleet.resume(frozen)
    status, _ = await fleet.submit('after', other, 4, 2000)
    for _ in range(40):
        if status in {200, 202}:
            break
        await asyncio.sleep(0.5)
        status, _ = await fleet.submit('after', other, 4, 2000)
    assert status in {200, 202}
    async with fleet.http.get(f'{fleet.entry_urls[other]}/v1/status') as answer:
        shards = (await answer.json())['shards']
    owner = shards[0]['owner']
    assert owner != frozen
    fleet.entries[owner].send(signal.SIGKILL)
    alive = next(name for name in fleet.entries if name not in {owner, frozen})
    assert await fleet.wait_final('frozen', alive, 40) == 'finished'
    assert await fleet.wait_final('after', alive, 20) == 'finished'
    audit = await fleet.audit()
    assert not audit.duplicated_tasks()
    assert not audit.overcommitted
    await fleet.start_entry(owner)
    await fleet.wait_ready()


async def test_sigterm_finishes_a_slow_answer_and_closes_idle_connections(fleet):
    """Guards against a planned stop that cuts off requests or hangs (promise 9)."""
    name = 'laita-e1'
    host = next(iter(fleet.worker_urls.values()))
    for worker in fleet.worker_urls:
        url = f'{host}/w/{worker}/faults'
        async with fleet.http.post(url, json={'serve_delay_ms': 2000}) as answer:
            answer.raise_for_status()
    await _until_served(fleet, name)
    port = int(fleet.entry_urls[name].rpartition(':')[2])
    idle = await asyncio.open_connection('127.0.0.1', port)
    slow = [asyncio.ensure_future(fleet.call(name)) for _ in range(5)]
    await asyncio.sleep(0.4)
    fleet.entries[name].send(signal.SIGTERM)
    await asyncio.sleep(0.2)
    fleet.entries[name].send(signal.SIGTERM)
    done = await asyncio.gather(*slow)
    assert [status for status, _ in done] == [200] * 5
    assert await asyncio.wait_for(idle[0].read(), 10) == b''
    idle[1].close()
    async with asyncio.timeout(15):
        assert await fleet.entries[name].wait() == 0
    for worker in fleet.worker_urls:
        url = f'{host}/w/{worker}/faults'
        async with fleet.http.post(url, json={'serve_delay_ms': 0}) as answer:
            answer.raise_for_status()


async def test_a_zone_cut_off_from_store_and_peers_serves_and_heals(tmp_path):
    """Guards against a zone that stops serving or never catches up (design, section 4).

    While the zone is cut off, requests continue and zone changes are refused.
    """
    fleet = LinkedFleet(TWO_ZONES, tmp_path, FAST_RENEWALS)
    fleet.store_linked_zones = ('isole',)
    fleet.peers_linked = True
    async with fleet:
        await fleet.apply_catalogue()
        await _until_served(fleet, 'isole-e0')
        status, _ = await fleet.submit('before', 'isole-e0', 4, 9000)
        assert status == 202
        await asyncio.sleep(2)
        cut = (fleet.links['store-isole'], fleet.links['isole-e0'])
        cut += (fleet.links['laita-e0'],)
        for link in cut:
            await link.set_mode('cut')
        url = fleet.entry_urls['laita-e0']
        async with fleet.http.get(f'{url}/v1/catalogue/recalculation') as answer:
            found = await answer.json()
        entry = {**found['entry'], 'retry_limit': 7}
        target = f'{url}/v1/catalogue/recalculation?author=t'
        target += f'&expected={found["revision"]}'
        async with fleet.http.put(target, json=entry) as answer:
            assert answer.ok, await answer.text()
        for _ in range(10):
            status, _ = await fleet.call('isole-e0')
            assert status == 200
            await asyncio.sleep(0.2)
        switch = {'state': 'out', 'reason': 'test'}
        target = f'{fleet.entry_urls["isole-e0"]}/v1/zones/laita?author=t'
        async with fleet.http.put(target, json=switch) as answer:
            assert answer.status == 503
            assert (await answer.json())['error']['verdict'] == 'not_run'
        for link in cut:
            await link.set_mode('pass')
        healed = time.monotonic()
        limit = 0
        url = f'{fleet.entry_urls["isole-e0"]}/v1/catalogue'
        while limit != 7 and time.monotonic() < healed + 10:
            async with fleet.http.get(url) as answer:
                listed = (await answer.json()).get('entries', [])
            limits = [
                one.get('entry', one).get('retry_limit')
                for one in listed
                if one.get('entry', one)['name'] == 'recalculation'
            ]
            limit = limits[0] if limits else 0
            await asyncio.sleep(0.1)
        spent_s = time.monotonic() - healed
        assert limit == 7, listed
        # Store calls are retried at intervals of up to 3 s.
        assert spent_s < 7
        assert await fleet.wait_final('before', 'laita-e0', 40) == 'finished'
        audit = await fleet.audit()
        assert not audit.duplicated_tasks()
        assert not audit.overcommitted
        assert 'Traceback' not in fleet.logs()
