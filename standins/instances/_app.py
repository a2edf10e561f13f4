"""HTTP server of the stand-in for the instance list."""

from datetime import timedelta

from aiohttp import web
from aiohttp.typedefs import Handler

from chiveworks.base import Clock
from standins.instances._directory import InstanceDirectory


def create_app(clock: Clock, lag: timedelta) -> web.Application:
    """Creates the server's application with an empty instance list."""
    server = _InstanceServer(InstanceDirectory(clock, lag))
    app = web.Application(middlewares=(server.apply_faults,))
    app.add_routes(
        (
            web.get('/v1/instances', server.poll),
            web.put('/v1/instances/{id}', server.register),
            web.post('/v1/instances/{id}/state', server.change_state),
            web.post('/faults', server.change_faults),
        )
    )
    return app


class _InstanceServer:
    """Request handlers for one instance list."""

    def __init__(self, directory: InstanceDirectory) -> None:
        self._directory = directory
        self._outage = False

    @web.middleware
    async def apply_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Refuses all calls during an outage, except changes of faults."""
        if self._outage and request.path != '/faults':
            return web.Response(status=503)
        return await handler(request)

    async def poll(self, request: web.Request) -> web.Response:
        """Waits for a change; returns the list, or 204 if `after` is its revision."""
        after = int(request.query.get('after', '0'))
        wait = timedelta(milliseconds=int(request.query.get('wait_ms', '0')))
        changed = await self._directory.wait_for_change(after, wait)
        if 'after' in request.query and not changed:
            return web.Response(status=204)
        revision, instances = self._directory.visible()
        return web.json_response({'revision': revision, 'instances': instances})

    async def register(self, request: web.Request) -> web.Response:
        """Adds or replaces an instance."""
        self._directory.put(request.match_info['id'], await request.json())
        return web.json_response({})

    async def change_state(self, request: web.Request) -> web.Response:
        """Marks an instance as live or leaving."""
        fields = await request.json()
        known = self._directory.set_state(request.match_info['id'], fields['state'])
        return web.json_response({}, status=200 if known else 404)

    async def change_faults(self, request: web.Request) -> web.Response:
        """Sets the lag and switches the outage on or off."""
        faults = await request.json()
        if 'lag_ms' in faults:
            self._directory.lag = timedelta(milliseconds=faults['lag_ms'])
        self._outage = faults.get('outage', self._outage)
        return web.json_response({})
