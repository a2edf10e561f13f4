"""Guards against request headers that use unbounded memory."""

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from chiveworks.entry._header_middleware import limit_headers


@pytest.mark.parametrize(('size', 'status'), [(100, 200), (4000, 431)])
async def test_headers_over_the_limit_are_refused(size, status):
    async def handler(_request):
        return web.Response()

    app = web.Application(middlewares=[limit_headers(2000)])
    app.router.add_get('/', handler)
    async with TestClient(TestServer(app)) as client:
        response = await client.get('/', headers={'X-Filler': 'x' * size})
        assert response.status == status
        if status != 200:
            assert (await response.json())['error']['verdict'] == 'not_run'
