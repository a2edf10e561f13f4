"""Guards against misleading exit codes and messages."""

import asyncio
import json
import logging
import os
import re
import subprocess
import sys

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from cleo.io.outputs.buffered_output import BufferedOutput

import chiveworks.entry
from chiveworks.catalogue import CatalogueEditor, CatalogueReplica
from chiveworks.catalogue.tests.fake_store import AutoAdvanceClock, FakeStore
from chiveworks.cli import ExitCode, build_application, run_command_line
from chiveworks.entry._catalogue_routes import add_catalogue_routes

ENTRY = 'name: recalc\nowner: billing\ntenant: quimperle\nservice_class: batch\n'
JOB = {
    'job_id': 'j1',
    'tenant': 't',
    'key': 'k',
    'state': 'finished',
    'home': 'laita',
    'generation': 1,
    'tasks': [{'task_id': 'j1-0', 'state': 'finished', 'attempt': 2, 'result': '42'}],
}


class FakeServer:
    """Server with the real catalogue handlers and scripted responses otherwise.

    Attributes:
        store: Store of the catalogue handlers.
        responses: Status and body of the response by method and path; the body
            `hang up` closes the connection instead.
        requests: Method, path and body of the requests that got a scripted
            response.
        url: URL of the server.
    """

    def __init__(self):
        self.store = FakeStore()
        self.responses = {}
        self.requests = []
        self.url = ''

    def app(self):
        app = web.Application()
        replica = CatalogueReplica()
        editor = CatalogueEditor(self.store, replica, AutoAdvanceClock())
        add_catalogue_routes(app, editor, replica)
        app.router.add_route('*', '/{path:.*}', self.respond)
        return app

    async def respond(self, request):
        body = await request.read()
        self.requests.append((request.method, request.path_qs, body))
        status, response_body = self.responses[request.method, request.path]
        if response_body == 'hang up':
            request.transport.close()
        if isinstance(response_body, str):
            return web.Response(text=response_body, status=status)
        return web.json_response(response_body, status=status)

    async def run(self, *arguments):
        out, err = BufferedOutput(), BufferedOutput()
        argv = ['chiveworks', *arguments, '--server', self.url]
        code = await asyncio.to_thread(run_command_line, argv, out, err)
        return code, out.fetch(), err.fetch()


@pytest.fixture
async def fake(monkeypatch):
    monkeypatch.setenv('CHIVEWORKS_AUTHOR', 'ana')
    server = FakeServer()
    async with TestServer(server.app()) as test_server:
        server.url = str(test_server.make_url('/'))
        yield server


async def test_catalogue_round_trip_with_conflict(fake, tmp_path):
    """Guards against an edit that silently overwrites a concurrent one."""
    path = tmp_path / 'recalc.yaml'
    path.write_text(ENTRY)
    file = str(path)
    assert (await fake.run('catalogue', 'get', 'recalc'))[0] == ExitCode.NOT_FOUND
    code, out, _ = await fake.run('catalogue', 'apply', file)
    assert (code, out) == (0, 'applied at revision 1\n')
    code, out, _ = await fake.run('catalogue', 'apply', file)
    assert (code, out) == (0, 'unchanged, in force since revision 1\n')
    path.write_text(f'{ENTRY}slots: 4\n')
    _, out, _ = await fake.run('catalogue', 'diff', file)
    assert re.search(r'slots +8 +4', out)
    code, out, err = await fake.run('catalogue', 'apply', file, '--expected', '0')
    assert code == ExitCode.CONFLICT
    assert re.search(r'slots +8 +4', out)
    assert 'at revision 1, the change is based on 0' in err
    assert 'next step: merge the diff' in err
    assert (await fake.run('catalogue', 'apply', file))[0] == 0
    _, out, _ = await fake.run('catalogue', 'history', 'recalc')
    assert re.search(r'2 +\S+ +ana +slots: 8 -> 4', out)
    _, out, _ = await fake.run('catalogue', 'get', '--output', 'json')
    assert json.loads(out)['entries'][0]['slots'] == 4
    assert (await fake.run('catalogue', 'delete', 'recalc'))[0] == 0
    assert (await fake.run('catalogue', 'delete', 'recalc'))[0] == ExitCode.NOT_FOUND


async def test_lost_responses_and_outages_have_their_own_codes(fake, tmp_path):
    """Guards against "not run" for a change that the store may have applied."""
    fake.store.faults = ['lose_request'] * 4
    code, _, err = await fake.run('zone', 'out', 'laita', '--reason', 'flood')
    assert code == ExitCode.OUTCOME_UNKNOWN
    assert 'outcome_unknown' in err
    fake.store.failing_reads = 1
    assert (await fake.run('zone', 'out', 'laita'))[0] == ExitCode.NOT_RUN
    assert (await fake.run('zone', 'out', 'laita'))[0] == 0
    _, out, _ = await fake.run('zone', 'status')
    assert re.search(r'laita +out', out)


@pytest.mark.parametrize(
    ('status', 'response_body', 'code'),
    [
        (202, JOB, ExitCode.OK),
        (200, JOB, ExitCode.OK),
        (200, 'no JSON', ExitCode.OUTCOME_UNKNOWN),
        (502, '<html>', ExitCode.OUTCOME_UNKNOWN),
        (200, 'hang up', ExitCode.OUTCOME_UNKNOWN),
        (404, 'nginx', ExitCode.NOT_RUN),
        (503, {'error': {'verdict': 'not_run', 'step': 'admit'}}, ExitCode.NOT_RUN),
        (504, {'error': {'verdict': 'outcome_unknown'}}, ExitCode.OUTCOME_UNKNOWN),
        (500, {'error': {'verdict': 'odd', 'step': 'odd'}}, ExitCode.OUTCOME_UNKNOWN),
        (409, {'error': {'verdict': 'not_run'}}, ExitCode.CONFLICT),
        (400, {'error': {'verdict': 'not_run'}}, ExitCode.INVALID),
    ],
)
async def test_exit_code_of_a_submission(fake, status, response_body, code):
    """Guards against "not run" for a job that the server may have accepted."""
    fake.responses['POST', '/v1/jobs'] = (status, response_body)
    found, _, err = await fake.run('job', 'submit', 't', 'k', 'recalc', 'a', 'b')
    assert found == code, err
    assert json.loads(fake.requests[0][2])['payloads'] == ['a', 'b']


async def test_a_read_never_has_an_unknown_outcome(fake):
    """Guards against an unknown outcome for a request that changes nothing."""
    fake.responses['GET', '/v1/jobs/t/k'] = (502, '<html>')
    assert (await fake.run('job', 'status', 't', 'k'))[0] == ExitCode.NOT_RUN


async def test_refused_connection_means_not_run(fake):
    """Guards against an unknown outcome for a request that was never sent."""
    fake.url = 'http://127.0.0.1:9'
    code, _, err = await fake.run('job', 'cancel', 't', 'k')
    assert code == ExitCode.NOT_RUN
    assert 'next step' in err


@pytest.mark.parametrize(
    ('state', 'code'),
    [('finished', 0), ('running', 3), ('failed', 3), ('outcome_unknown', 1)],
)
async def test_job_result_tells_whether_it_is_complete(fake, state, code):
    """Guards against scripts that take a partial result for a complete one."""
    fake.responses['GET', '/v1/jobs/t/k'] = (200, {**JOB, 'state': state})
    found, out, _ = await fake.run('job', 'result', 't', 'k')
    assert found == code
    assert out == ('42\n' if state == 'finished' else '')


async def test_names_are_quoted_and_markup_in_data_is_not_interpreted(fake):
    """Guards against names that alter the request URL or the terminal's state."""
    fake.responses['GET', '/v1/jobs'] = (200, {'jobs': [{**JOB, 'key': '<b>\x1b[31m'}]})
    fake.responses['GET', '/v1/status'] = (
        200,
        {'jobs': [{'tenant': 't', 'late': True}], 'zones': [], 'shards': {'laita': 7}},
    )
    _, out, _ = await fake.run('job', 'list', 'a/b?c')
    assert fake.requests[0][1] in {'/v1/jobs?tenant=a/b?c', '/v1/jobs?tenant=a%2Fb%3Fc'}
    assert '<b> [31m' in out
    _, out, _ = await fake.run('status')
    assert re.search(r'tenant +late', out)
    assert re.search(r't +yes', out)
    assert re.search(r'laita +7', out)


async def test_unexpected_response_gives_a_message_without_traceback(fake):
    """Guards against a stack trace for a response in an unexpected format."""
    fake.responses['GET', '/v1/jobs'] = (200, {'jobs': 7})
    code, _, err = await fake.run('job', 'list', 't')
    assert code == ExitCode.OUTCOME_UNKNOWN
    assert err.startswith('error: the command failed')
    assert len(err.splitlines()) == 1


async def test_override_is_adopted_by_its_author(fake):
    """Guards against an adoption that is sent without its author."""
    fake.responses['POST', '/v1/overrides/o1/adopt'] = (200, {})
    assert (await fake.run('catalogue', 'adopt', 'o1'))[0] == 0
    assert fake.requests[0][1] == '/v1/overrides/o1/adopt?author=ana'


@pytest.mark.parametrize(
    'arguments',
    [
        ('nope',),
        ('job', 'list'),
        ('status', '--nope'),
        ('status', '--output', 'xml'),
        ('job', 'submit', 't', 'k', 'e'),
        ('job', 'submit', 't', 'k', 'e', '--payloads', '/none'),
        ('catalogue', 'apply', '/none'),
        ('catalogue', 'apply', 'ENTRY', '--expected', 'x'),
        ('settings', 'check', '/none'),
        ('serve', '/none'),
        ('status', '--server', 'http://:x'),
    ],
)
async def test_invalid_usage_gives_code_2_without_traceback(fake, tmp_path, arguments):
    """Guards against a stack trace or another exit code for a usage error."""
    path = tmp_path / 'entry.yaml'
    path.write_text(ENTRY)
    argv_words = [str(path) if one == 'ENTRY' else one for one in arguments]
    out, err = BufferedOutput(), BufferedOutput()
    server = (
        []
        if argv_words[0] in {'settings', 'serve', 'nope'} or '--server' in argv_words
        else ['-s', fake.url]
    )
    argv = ['chiveworks', *argv_words, *server]
    code = await asyncio.to_thread(run_command_line, argv, out, err)
    assert code == ExitCode.INVALID
    message = err.fetch()
    assert message.startswith('error: ')
    assert 'Traceback' not in message


def test_settings_check_reports_lines(tmp_path):
    """Guards against problems that are reported without their file, line or field."""
    path = tmp_path / 's.yaml'
    path.write_text('entry_id: 7\n')
    out, err = BufferedOutput(), BufferedOutput()
    argv = ['chiveworks', 'settings', 'check', str(path), '-o', 'json']
    assert run_command_line(argv, out, err) == ExitCode.INVALID
    assert {'entry_id', 'zone'} <= {one['field'] for one in json.loads(out.fetch())}
    assert f'{path}:1: entry_id: expected a valid string, got 7' in err.fetch()


def test_serve_passes_the_settings_on(tmp_path, monkeypatch):
    """Guards against an entry process that runs with other settings than the file's."""

    async def run_entry(settings):
        return 0 if settings.zone == 'laita' else 9

    root = logging.getLogger()
    monkeypatch.setattr(root, 'handlers', [])
    monkeypatch.setattr(root, 'level', root.level)
    monkeypatch.setattr(chiveworks.entry, 'run_entry', run_entry, raising=False)
    path = tmp_path / 's.yaml'
    path.write_text(
        'entry_id: e1\nzone: laita\nlisten: {port: 1}\npeer: {port: 2}\n'
        'store_url: http://127.0.0.1:3\ninstances_url: http://127.0.0.1:4\n'
    )
    out, err = BufferedOutput(), BufferedOutput()
    assert run_command_line(['chiveworks', 'serve', str(path)], out, err) == 0


def test_completion_command_exists():
    """Guards against losing the shell completions that cleo generates."""
    assert build_application().has('completions')


def test_io_uring_is_off_before_anything_imports_uvloop():
    """Guards against a process in which libuv opens an io_uring descriptor."""
    script = (
        'import os, sys\n'
        'class Finder:\n'
        '    def find_spec(self, name, path=None, target=None):\n'
        '        if name == "uvloop":\n'
        '            print("uvloop", os.environ.get("UV_USE_IO_URING"))\n'
        'sys.meta_path.insert(0, Finder())\n'
        'import chiveworks.__main__\n'
        'import uvloop\n'
    )
    environment = {**os.environ, 'UV_USE_IO_URING': '1'}
    ran = subprocess.run(
        [sys.executable, '-c', script], env=environment, capture_output=True, text=True
    )
    assert ran.stdout == 'uvloop 0\n', ran.stderr
