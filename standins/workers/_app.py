"""HTTP server that hosts several workers."""

import json
from collections.abc import Iterable
from datetime import timedelta
from functools import partial

from aiohttp import web
from result import Err

from chiveworks.base import Clock
from standins.workers._commands import refusal_answer, run_command, run_override
from standins.workers._serving import serve
from standins.workers._site import WorkerSite
from standins.workers._spec import WorkerSpec
from standins.workers._worker import SimulatedWorker

_BODY_LIMIT_BYTES = 64_000_000
_dump = partial(json.dumps, separators=(',', ':'))


def create_app(clock: Clock, specs: Iterable[WorkerSpec]) -> web.Application:
    """Creates the server's application; worker ID has the base path `/w/ID`."""
    host = _WorkerHost(
        {
            spec.worker_id: WorkerSite(SimulatedWorker(spec, clock), clock)
            for spec in specs
        }
    )
    base = '/w/{worker}'
    app = web.Application(client_max_size=_BODY_LIMIT_BYTES)
    app.add_routes(
        (
            web.post(f'{base}/control/{{command}}', host.control),
            web.route('*', f'{base}/serve/{{service}}{{path:(/.*)?}}', host.serve),
            web.post(f'{base}/faults', host.change_faults),
            web.post(f'{base}/override', host.override),
            web.get(f'{base}/log', host.log),
        )
    )
    return app


class _WorkerHost:
    """Request handlers over the workers of one process."""

    def __init__(self, sites: dict[str, WorkerSite]) -> None:
        self._sites = sites

    async def control(self, request: web.Request) -> web.Response:
        """Runs a control command."""
        site = self._site(request)
        await site.pass_gate(request)
        command = request.match_info['command']
        outcome = run_command(site.worker, command, await request.json())
        if isinstance(outcome, Err):
            return refusal_answer(site.worker, outcome.err_value)
        dropped = command == 'start' and site.faults.take_start_drop()
        if dropped and request.transport:
            request.transport.abort()
        return web.json_response(outcome.ok_value, dumps=_dump)

    async def serve(self, request: web.Request) -> web.Response:
        """Serves a request to a service."""
        site = self._site(request)
        await site.pass_gate(request)
        return await serve(site, request)

    async def change_faults(self, request: web.Request) -> web.Response:
        """Sets faults, and restarts the worker on `restart`."""
        site = self._site(request)
        fields = await request.json()
        site.faults.update(fields)
        worker = site.worker
        worker.fail_starts = fields.get('fail_starts', worker.fail_starts)
        worker.table.fail_tasks = fields.get('fail_tasks', worker.table.fail_tasks)
        if 'silent' in fields:
            site.silence(fields['silent'])
        if fields.get('frozen_ms'):
            site.freeze(timedelta(milliseconds=fields['frozen_ms']))
        if fields.get('restart'):
            worker.restart(keep_tasks=bool(fields.get('keep_tasks')))
        return web.json_response({})

    async def override(self, request: web.Request) -> web.Response:
        """Changes tasks by hand, past the scheduler."""
        applied = run_override(self._site(request).worker, await request.json())
        return web.json_response({}, status=200 if applied else 404)

    async def log(self, request: web.Request) -> web.Response:
        """Returns starts, ends, greatest committed sizes and request counts."""
        site = self._site(request)
        site.worker.advance_to_now()
        fields = {
            'worker': site.worker.spec.worker_id,
            **site.worker.log.to_json(),
            'requests': site.request_counts,
        }
        return web.json_response(fields)

    def _site(self, request: web.Request) -> WorkerSite:
        worker = request.match_info['worker']
        if worker not in self._sites:
            raise web.HTTPNotFound(text='unknown worker')
        return self._sites[worker]
