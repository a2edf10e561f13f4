"""Routes for liveness, readiness and metrics."""

from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web

from chiveworks.telemetry import METRICS_CONTENT_TYPE, Metrics


def add_health_routes(
    app: web.Application, is_ready: Callable[[], bool], metrics: Metrics
) -> None:
    """Adds `/healthz`, `/readyz` and `/metrics` to an application."""

    async def healthz(_request: web.Request) -> web.Response:
        return web.json_response({'status': 'ok'})

    async def readyz(_request: web.Request) -> web.Response:
        if is_ready():
            return web.json_response({'status': 'ready'})
        return web.json_response(
            {'status': 'not_ready'}, status=HTTPStatus.SERVICE_UNAVAILABLE
        )

    async def render(_request: web.Request) -> web.Response:
        headers = {'Content-Type': METRICS_CONTENT_TYPE}
        return web.Response(body=metrics.render(), headers=headers)

    app.add_routes(
        [
            web.get('/healthz', healthz),
            web.get('/readyz', readyz),
            web.get('/metrics', render),
        ]
    )
