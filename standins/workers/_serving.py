"""Service endpoint of a worker."""

import hashlib
from collections.abc import Mapping

from aiohttp import web

from standins.workers._hosted_worker import HostedWorker

_UNAVAILABLE = 503
_REQUEST_ID = 'X-Request-Id'


async def serve(hosted: HostedWorker, request: web.Request) -> web.Response:
    """Runs a request in a slot, or refuses it without running it."""
    service = request.match_info['service']
    request_id = request.headers.get(_REQUEST_ID, '')
    serving = hosted.worker.table.serving
    busy = sum(serving.values()) >= hosted.worker.spec.slots
    if busy or hosted.faults.leaving:
        headers = {'X-Chiveworks-Not-Run': '1', **_headers(hosted, request_id)}
        return web.Response(status=_UNAVAILABLE, headers=headers)
    hosted.worker.advance_to_now()
    serving[service] += 1
    try:
        body = await request.read()
        await hosted.run_request(service, request_id, _extra_ms(request))
    finally:
        hosted.worker.advance_to_now()
        serving[service] -= 1
    response = {
        'request_id': request_id,
        'worker': hosted.worker.spec.worker_id,
        'length': len(body),
        'sha256': hashlib.sha256(body).hexdigest(),
    }
    size_bytes = int(request.query.get('size_bytes', '0'))
    if size_bytes:
        response['padding'] = 'x' * size_bytes
    return web.json_response(response, headers=_headers(hosted, request_id))


def _headers(hosted: HostedWorker, request_id: str) -> Mapping[str, str]:
    headers = {_REQUEST_ID: request_id} if request_id else {}
    if hosted.faults.leaving:
        headers['X-Chiveworks-Leaving'] = '1'
    return headers


def _extra_ms(request: web.Request) -> float:
    header = request.headers.get('X-Standin-Delay-Ms', '0')
    return float(request.query.get('delay_ms', header))
