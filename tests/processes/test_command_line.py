"""Tests each command as a program against a real fleet, with table and JSON output.

They guard against commands that work in unit tests only: unreliable exit codes,
stack traces, and error messages that don't suggest a next step.
"""

import asyncio
import json
import os
import sys
import time

import pytest
import pytest_asyncio
import yaml

from examples.fleet import Fleet, FleetShape

SHAPE = FleetShape(('laita', 'isole'), (2, 2), 1, 'compteurs', 0.5)
FAST_RENEWALS = {'worker_renew_ms': 500, 'idle_worker_renew_ms': 500}
TIMEOUT_S = 20
pytestmark = pytest.mark.asyncio(loop_scope='module')


class Operator:
    """Runs commands as an operator does at a terminal."""

    def __init__(self, fleet, directory):
        self.fleet = fleet
        self.directory = directory
        self.url = next(iter(fleet.entry_urls.values()))

    def file(self, name, content):
        path = self.directory / name
        text = content if isinstance(content, str) else yaml.safe_dump(content)
        path.write_text(text)
        return str(path)

    async def run(self, *arguments, author='ana'):
        environment = {
            **os.environ,
            'CHIVEWORKS_SERVER': self.url,
            'CHIVEWORKS_AUTHOR': author,
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'chiveworks',
            *arguments,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        async with asyncio.timeout(TIMEOUT_S):
            out, err = await process.communicate()
        assert b'Traceback' not in out + err, (arguments, out, err)
        return process.returncode, out.decode(), err.decode()

    async def ok(self, *arguments, **options):
        code, out, err = await self.run(*arguments, **options)
        assert code == 0, (arguments, code, out, err)
        return out

    async def json(self, *arguments):
        return json.loads(await self.ok(*arguments, '--output', 'json'))

    async def until(self, condition, *arguments):
        """Repeats a command with JSON output until its answer meets a condition."""
        deadline = time.monotonic() + TIMEOUT_S
        while not condition(answer := await self.json(*arguments)):
            assert time.monotonic() < deadline, (arguments, answer)
        return answer

    async def submit(self, key, entry='recalculation', ms=60_000):
        payload = json.dumps({'duration_ms': ms})
        await self.ok('job', 'submit', 'regie', key, entry, payload)
        job = await self.until(
            lambda job: job['tasks'][0]['worker'], 'job', 'status', 'regie', key
        )
        return job['tasks'][0]

    async def apply_override(self, worker, **fields):
        url = f'{self.fleet.worker_urls[worker]}/w/{worker}/override'
        async with self.fleet.http.post(url, json=fields) as answer:
            assert answer.status == 200, await answer.text()

    async def override_of(self, task_id):
        def has_task(status):
            return task_id in {one['task_id'] for one in status['overrides']}

        status = await self.until(has_task, 'status')
        return next(one for one in status['overrides'] if one['task_id'] == task_id)


def entry(name, **fields):
    return {
        'name': name,
        'owner': 'billing',
        'tenant': 'regie',
        'service_class': 'batch',
        'can_checkpoint': True,
        'cpu_millicores': 1000,
        'memory_bytes': 1 << 30,
        **fields,
    }


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def operator(tmp_path_factory):
    directory = tmp_path_factory.mktemp('fleet')
    async with Fleet(SHAPE, directory, settings=FAST_RENEWALS) as fleet:
        operator = Operator(fleet, directory)
        for one in (
            entry('recalculation'),
            entry('closing', can_checkpoint=False),
            entry(
                'compteurs',
                service_class='latency-critical',
                idempotent=True,
                response_target_ms=250,
            ),
        ):
            path = operator.file(f'{one["name"]}.yaml', one)
            await operator.ok('catalogue', 'apply', path)
        yield operator


VALID_SETTINGS = {
    'entry_id': 'entry-laita-1',
    'zone': 'laita',
    'listen': {'port': 8080},
    'peer': {'port': 8090},
    'store_url': 'http://127.0.0.1:7000',
    'instances_url': 'http://127.0.0.1:7001',
}


@pytest.mark.parametrize(
    ('content', 'line', 'field', 'expected'),
    [
        ({**VALID_SETTINGS, 'worker_lease': 15}, 9, 'worker_lease', 'worker_lease_ms'),
        (
            {**VALID_SETTINGS, 'drain_grace_ms': '5s'},
            9,
            'drain_grace_ms',
            'milliseconds',
        ),
        ({**VALID_SETTINGS, 'listen': {'port': 'http'}}, 4, 'listen.port', 'integer'),
        ('zone: laita\nentry_id: [x\nlisten: 1\n', 3, '', "','"),
    ],
)
async def test_settings_check_names_line_field_and_expectation(
    operator, content, line, field, expected
):
    """Guards against settings errors that don't say what is wrong on which line."""
    if isinstance(content, dict):
        content = yaml.safe_dump(content, sort_keys=False)
    path = operator.file('settings.yaml', content)
    code, _, err = await operator.run('settings', 'check', path)
    assert code == 2
    assert err.startswith(f'error: {path}:{line}:'), err
    assert field in err
    assert expected in err
    code, out, _ = await operator.run('settings', 'check', path, '-o', 'json')
    assert code == 2
    assert (json.loads(out)[0]['line'], json.loads(out)[0]['field']) == (line, field)


async def test_settings_check_accepts_a_good_file(operator):
    """Guards against a check that rejects valid settings or does not confirm them."""
    path = operator.file('good.yaml', VALID_SETTINGS)
    assert await operator.ok('settings', 'check', path) == f'{path}: valid\n'
    assert await operator.json('settings', 'check', path) == []


async def test_catalogue_commands(operator):
    """Guards against commands that disagree on an entry after a change or deletion."""
    path = operator.file('cutting.yaml', entry('cutting'))
    assert 'applied at revision' in await operator.ok('catalogue', 'apply', path)
    assert 'unchanged' in await operator.ok('catalogue', 'apply', path)
    assert 'no differences' in await operator.ok('catalogue', 'diff', path)
    path = operator.file('cutting.yaml', entry('cutting', retry_limit=7))
    assert 'retry_limit' in await operator.ok('catalogue', 'diff', path)
    changes = await operator.json('catalogue', 'diff', path)
    assert [(one['stored'], one['proposed']) for one in changes] == [(3, 7)]
    applied = await operator.json('catalogue', 'apply', path)
    assert applied['revision'] > 0
    assert '7' in await operator.ok('catalogue', 'get', 'cutting')
    shown = await operator.json('catalogue', 'get', 'cutting')
    assert shown['entry']['retry_limit'] == 7
    assert 'cutting' in await operator.ok('catalogue', 'get')
    names = [
        one['name'] for one in (await operator.json('catalogue', 'get'))['entries']
    ]
    assert 'cutting' in names
    history = await operator.ok('catalogue', 'history', 'cutting')
    assert 'ana' in history and 'retry_limit: 3 -> 7' in history
    versions = (await operator.json('catalogue', 'history', 'cutting'))['versions']
    assert len(versions) == 2
    assert 'deleted at revision' in await operator.ok('catalogue', 'delete', 'cutting')
    code, _, err = await operator.run('catalogue', 'get', 'cutting')
    assert (code, 'next step: ' in err) == (5, True)
    assert 'deleted' in await operator.ok('catalogue', 'history', 'cutting')


async def test_one_of_two_operators_is_told_what_the_other_changed(operator):
    """Guards against a change that silently overwrites a concurrent one."""
    base = operator.file('race.yaml', entry('race'))
    revision = (await operator.json('catalogue', 'apply', base))['revision']
    files = [
        operator.file(f'race-{limit}.yaml', entry('race', retry_limit=limit))
        for limit in (5, 6)
    ]
    ran = await asyncio.gather(
        *(
            operator.run(
                'catalogue', 'apply', path, '-e', str(revision), author=f'op{number}'
            )
            for number, path in enumerate(files)
        )
    )
    assert sorted(code for code, _, _ in ran) == [0, 4]
    _, out, err = next(one for one in ran if one[0] == 4)
    assert 'retry_limit' in out and '5' in out and '6' in out
    assert 'next step: ' in err
    code, out, _ = await operator.run(
        'catalogue', 'apply', base, '-e', str(revision), '-o', 'json'
    )
    assert code == 4
    refused = json.loads(out)
    assert refused['reason'] == 'conflict'
    assert refused['diff'][0]['field'] == 'retry_limit'


async def test_job_commands(operator):
    """Guards against refused repeats of a submission and accepted reuses of its key."""
    payload = json.dumps({'duration_ms': 300})
    submit = ('job', 'submit', 'regie', 'bill-1', 'recalculation', payload)
    assert 'bill-1' in await operator.ok(*submit)
    job = await operator.json(*submit)
    assert job['key'] == 'bill-1'
    code, out, err = await operator.run(*submit, payload)
    assert code == 4, (out, err)
    assert 'other contents' in err and 'next step: use another key' in err
    code, out, _ = await operator.run(*submit, payload, '-o', 'json')
    assert json.loads(out)['reason'] == 'key_reused'
    is_finished = ('job', 'status', 'regie', 'bill-1')
    await operator.until(lambda one: one['state'] == 'finished', *is_finished)
    assert 'finished' in await operator.ok(*is_finished)
    result = await operator.ok('job', 'result', 'regie', 'bill-1')
    assert json.loads(result)['task_id'] == job['tasks'][0]['task_id']
    shown = await operator.json('job', 'result', 'regie', 'bill-1')
    assert shown['tasks'][0]['result']
    assert 'bill-1' in await operator.ok('job', 'list', 'regie')
    jobs = (await operator.json('job', 'list', 'regie'))['jobs']
    assert 'bill-1' in {one['key'] for one in jobs}


async def test_a_cancelled_job_has_no_result(operator):
    """Guards against a `job result` that succeeds for a cancelled job."""
    await operator.submit('bill-2')
    assert 'bill-2' in await operator.ok('job', 'cancel', 'regie', 'bill-2')
    command = ('job', 'status', 'regie', 'bill-2')
    await operator.until(lambda one: one['state'] == 'cancelled', *command)
    again = await operator.json('job', 'cancel', 'regie', 'bill-2')
    assert again['state'] == 'cancelled'
    code, _, err = await operator.run('job', 'result', 'regie', 'bill-2')
    assert (code, 'it is cancelled' in err) == (3, True)


async def test_a_job_that_fits_nowhere_says_why(operator):
    """Guards against a job that waits forever because no worker is large enough."""
    path = operator.file('giant.yaml', entry('giant', cpu_millicores=900_000))
    await operator.ok('catalogue', 'apply', path)
    await operator.ok('job', 'submit', 'regie', 'giant-1', 'giant', '{}')
    command = ('job', 'status', 'regie', 'giant-1')
    job = await operator.until(lambda one: one['state'] == 'unschedulable', *command)
    assert 'can hold' in job['reason']


async def test_a_stop_by_hand_is_seen_and_reverted(operator):
    """Guards against a manual change that operators are not told about."""
    task = await operator.submit('night-1')
    await operator.apply_override(
        task['worker'], action='stop', task_id=task['task_id']
    )
    override = await operator.override_of(task['task_id'])
    assert (override['kind'], override['owner']) == ('stopped', 'billing')
    assert override['since']
    shown = await operator.ok('status')
    assert override['override_id'] in shown and 'stopped by hand' in shown
    revert = ('catalogue', 'revert', override['override_id'])
    assert 'revert accepted' in await operator.ok(*revert)
    code, _, err = await operator.run(*revert)
    assert (code, 'next step: list the open ones' in err) == (5, True)
    command = ('job', 'status', 'regie', 'night-1')
    job = await operator.until(lambda one: one['state'] == 'running', *command)
    assert job['tasks'][0]['attempt'] == 2
    await operator.ok('job', 'cancel', 'regie', 'night-1')


async def test_a_size_changed_by_hand_is_adopted(operator):
    """Guards against an adopted resize that is missing in the entry or its history."""
    task = await operator.submit('night-2')
    await operator.apply_override(
        task['worker'], action='resize', task_id=task['task_id'], cpu_millicores=1500
    )
    override = await operator.override_of(task['task_id'])
    adopted = await operator.json('catalogue', 'adopt', override['override_id'])
    assert adopted['override']['kind'] == 'resized'

    def has_new_size(shown):
        return shown['entry']['cpu_millicores'] == 1500

    await operator.until(has_new_size, 'catalogue', 'get', 'recalculation')
    history = await operator.ok('catalogue', 'history', 'recalculation')
    assert 'cpu_millicores: 1000 -> 1500' in history
    await operator.ok('job', 'cancel', 'regie', 'night-2')


async def test_a_task_started_by_hand_is_stopped_by_a_revert(operator):
    """Guards against a manually started task that is unlisted or outlasts a revert."""
    started = {'task_id': 'by-hand', 'cpu_millicores': 500, 'payload': '{}'}
    payload = json.dumps({'duration_ms': 60_000})
    await operator.apply_override(
        'laita-w0', action='start', **{**started, 'payload': payload}
    )
    override = await operator.override_of('by-hand')
    assert (override['kind'], override['worker']) == ('unclaimed', 'laita-w0')
    await operator.ok('catalogue', 'revert', override['override_id'])
    await operator.until(lambda status: not status['overrides'], 'status')


async def test_zone_commands_list_what_still_runs(operator):
    """Guards against a status that hides tasks still running in a zone that is out."""
    # The task must run longer than the commands below; each is a process that takes
    # over a second on a busy machine.
    task = await operator.submit('closing-1', entry='closing', ms=12_000)
    zone = task['worker'].partition('-')[0]
    out = await operator.ok('zone', 'out', zone, '--reason', 'power test')
    assert f'zone {zone} is out' in out
    shown = await operator.ok('zone', 'status')
    assert 'power test' in shown and 'ana' in shown
    assert f'tasks still running in {zone} because they cannot be evicted:' in shown
    assert task['task_id'] in shown
    zones = {
        one['name']: one for one in (await operator.json('zone', 'status'))['zones']
    }
    assert zones[zone]['state'] == 'out'
    assert [one['task_id'] for one in zones[zone]['tasks']] == [task['task_id']]
    status = await operator.ok('status')
    assert 'power test' in status
    command = ('job', 'status', 'regie', 'closing-1')
    await operator.until(lambda one: one['state'] == 'finished', *command)
    assert f'nothing runs in {zone}' in await operator.ok('zone', 'status')
    assert 'in service' in await operator.ok('zone', 'back', zone)
    back = await operator.json('zone', 'back', zone, '--reason', 'done')
    assert back['revision'] > 0


async def test_status_shows_unknown_outcomes_and_all_sections(operator):
    """Guards against a status that omits jobs whose outcome is unknown."""
    task = await operator.submit('closing-2', entry='closing')
    url = f'{operator.fleet.worker_urls[task["worker"]]}/w/{task["worker"]}/faults'
    async with operator.fleet.http.post(url, json={'restart': True}) as answer:
        assert answer.status == 200

    def is_unknown(status):
        return 'closing-2' in {one['key'] for one in status['unknown_outcomes']}

    status = await operator.until(is_unknown, 'status')
    assert status['services'][0]['response_target_ms'] == 250
    assert {'state': 'outcome_unknown', 'count': 1} in status['jobs']
    assert {one['zone'] for one in status['shards']} == set(SHAPE.zones)
    assert status['unreachable_zones'] == []
    shown = await operator.ok('status')
    for title in (
        'services',
        'jobs',
        'open manual overrides',
        'jobs whose outcome is unknown',
        'zones',
        'shards',
        'zones without a reachable shard owner',
    ):
        assert f'\n{title}' in f'\n{shown}', title
    assert 'closing-2' in shown
    code, _, _ = await operator.run('job', 'result', 'regie', 'closing-2')
    assert code == 1


@pytest.mark.parametrize(
    ('arguments', 'code'),
    [
        ((), 0),
        (('nonsense',), 2),
        (('catalogue', 'apply', 'missing.yaml'), 2),
        (('catalogue', 'apply', 'BROKEN'), 2),
        (('catalogue', 'get', 'no-such-entry'), 5),
        (('catalogue', 'get', 'Bad Name/..'), 5),
        (('catalogue', 'history', 'no-such-entry'), 5),
        (('catalogue', 'delete', 'no-such-entry'), 5),
        (('catalogue', 'adopt', 'no-such-override'), 5),
        (('catalogue', 'revert', 'no/such?override'), 5),
        (('zone', 'out', 'nowhere'), 5),
        (('zone', 'out'), 2),
        (('job', 'submit', 'regie', 'k', 'no-such-entry', '{}'), 5),
        (('job', 'submit', 'Régie', 'k', 'recalculation', '{}'), 2),
        (('job', 'submit', 'regie', 'k', 'recalculation'), 2),
        (('job', 'status', 'regie', 'no-such-job'), 5),
        (('job', 'cancel', 'regie', 'no-such-job'), 5),
        (('job', 'result', 'regie', 'no-such-job'), 5),
        (('status', '--server', 'http://127.0.0.1:9'), 3),
        (('status', '--server', 'laita:80'), 2),
        (('status', '-o', 'xml'), 2),
        (('settings', 'check', '/'), 2),
        (('serve', 'missing.yaml'), 2),
    ],
)
async def test_bad_input_gives_its_exit_code_and_a_message(operator, arguments, code):
    """Guards against wrong exit codes and errors without a message or a next step."""
    broken = operator.file('broken.yaml', 'name: x\n  owner: y\n')
    filled = [broken if one == 'BROKEN' else one for one in arguments]
    found, _, err = await operator.run(*filled)
    assert found == code, err
    if code:
        assert err.startswith('error: '), err
    if code in {3, 5}:
        assert 'next step: ' in err, err


async def test_a_port_in_use_stops_the_process_with_a_message(operator):
    """Guards against a stack trace if an entry process can't bind its port."""
    name = next(iter(operator.fleet.entry_urls))
    settings = yaml.safe_load((operator.directory / f'{name}.yaml').read_text())
    path = operator.file('taken.yaml', {**settings, 'entry_id': 'second'})
    code, out, err = await operator.run('serve', path)
    assert code == 3, (out, err)
    assert 'cannot run' in out + err
