"""HTTP server that hosts several simulated workers."""

import json
from collections.abc import Iterable
from datetime import timedelta
from functools import partial

from aiohttp import web
from result import Err

from chiveworks.base import Clock
from standins.workers._commands import refusal_response, run_command, run_override
from standins.workers._hosted_worker import HostedWorker
from standins.workers._serving import serve
from standins.workers._spec import WorkerSpec
from standins.workers._worker import SimulatedWorker

_BODY_LIMIT_BYTES = 64_000_000
_dump = partial(json.dumps, separators=(',', ':'))


def create_app(clock: Clock, specs: Iterable[WorkerSpec]) -> web.Application:
    """Creates the server's application; the base path of worker ID is `/w/ID`."""
    host = _WorkerHost(
        {
            spec.worker_id: HostedWorker(SimulatedWorker(spec, clock), clock)
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
    """Request handlers for the workers of one process."""

    def __init__(self, hosted_workers: dict[str, HostedWorker]) -> None:
        self._hosted_workers = hosted_workers

    async def control(self, request: web.Request) -> web.Response:
        """Runs a control command."""
        hosted = self._hosted_worker(request)
        await hosted.wait_while_silent_or_frozen(request)
        command = request.match_info['command']
        outcome = run_command(hosted.worker, command, await request.json())
        if isinstance(outcome, Err):
            return refusal_response(hosted.worker, outcome.err_value)
        dropped = command == 'start' and hosted.faults.should_drop_start_response()
        if dropped and request.transport:
            request.transport.abort()
        return web.json_response(outcome.ok_value, dumps=_dump)

    async def serve(self, request: web.Request) -> web.Response:
        """Serves a request to a service."""
        hosted = self._hosted_worker(request)
        await hosted.wait_while_silent_or_frozen(request)
        return await serve(hosted, request)

    async def change_faults(self, request: web.Request) -> web.Response:
        """Sets faults; restarts the worker if `restart` is set."""
        hosted = self._hosted_worker(request)
        fields = await request.json()
        hosted.faults.update(fields)
        worker = hosted.worker
        worker.fail_starts = fields.get('fail_starts', worker.fail_starts)
        worker.table.fail_tasks = fields.get('fail_tasks', worker.table.fail_tasks)
        if 'silent' in fields:
            hosted.silence(fields['silent'])
        if fields.get('frozen_ms'):
            hosted.freeze(timedelta(milliseconds=fields['frozen_ms']))
        if fields.get('restart'):
            worker.restart(keep_tasks=bool(fields.get('keep_tasks')))
        return web.json_response({})

    async def override(self, request: web.Request) -> web.Response:
        """Applies a manual override, bypassing the scheduler."""
        applied = run_override(
            self._hosted_worker(request).worker, await request.json()
        )
        return web.json_response({}, status=200 if applied else 404)

    async def log(self, request: web.Request) -> web.Response:
        """Returns starts, ends, peak committed resources and request counts."""
        hosted = self._hosted_worker(request)
        hosted.worker.advance_to_now()
        fields = {
            'worker': hosted.worker.spec.worker_id,
            **hosted.worker.log.to_json(),
            'requests': hosted.request_counts,
        }
        return web.json_response(fields)

    def _hosted_worker(self, request: web.Request) -> HostedWorker:
        worker = request.match_info['worker']
        if worker not in self._hosted_workers:
            raise web.HTTPNotFound(text='unknown worker')
        return self._hosted_workers[worker]
