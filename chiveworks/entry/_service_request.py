"""Parsing and validation of requests to services."""

import asyncio
import re
import uuid
from dataclasses import dataclass
from datetime import timedelta
from urllib.parse import unquote

from aiohttp import web
from result import Err, Ok, Result

from chiveworks.base import EntryName, Failure, RequestId, Step, TenantName
from chiveworks.entry._rejection import Rejection

_NAME_PATTERN = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,127}')
_VISIBLE_ASCII_PATTERN = re.compile('[!-~]{1,200}')
_NUMBER_PATTERN = re.compile('[1-9][0-9]{0,8}')
_METHODS = frozenset(('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'))
_TENANT_HEADER = 'X-Chiveworks-Tenant'
_DEADLINE_HEADER = 'X-Chiveworks-Deadline-Ms'
_REQUEST_ID_HEADER = 'X-Request-Id'
_KEY_HEADER = 'Idempotency-Key'


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """Validated path and headers of a request.

    Attributes:
        service: Name of the requested service.
        target: Path within the service and query string, encoded as received.
        request_id: Id that is returned in the response.
        tenant: Tenant in the request headers, if any.
        deadline: Time limit in the request headers, if any.
        key: Idempotency key, if any.
    """

    service: EntryName
    target: str
    request_id: RequestId
    tenant: TenantName | None
    deadline: timedelta | None
    key: str | None


def parse_head(request: web.Request) -> Result[ServiceRequest, Rejection]:
    """Validates and parses everything except the body."""
    problem = _find_problem(request)
    if problem is not None:
        return Err(reject(400, problem))
    headers = request.headers
    _, _, service, *path = request.rel_url.raw_path.split('/', 3)
    query = request.rel_url.raw_query_string
    target = '{0}{1}'.format(''.join(path), f'?{query}' if query else '')
    tenant = headers.get(_TENANT_HEADER)
    deadline = headers.get(_DEADLINE_HEADER)
    parsed = ServiceRequest(
        EntryName(service),
        target,
        RequestId(headers.get(_REQUEST_ID_HEADER) or uuid.uuid4().hex),
        None if tenant is None else TenantName(tenant),
        None if deadline is None else timedelta(milliseconds=int(deadline)),
        headers.get(_KEY_HEADER),
    )
    return Ok(parsed)


async def read_body(
    request: web.Request, limit_bytes: int, timeout: timedelta
) -> Result[bytes, Rejection]:
    """Reads the body; rejects one that is too large, too late or incomplete."""
    too_large = reject(413, f'the body is larger than {limit_bytes} bytes')
    if (request.content_length or 0) > limit_bytes:
        return Err(too_large)
    if request.content.is_eof() and request.content.total_bytes <= limit_bytes:
        # Fast path: the body has already been received completely.
        return Ok(request.content.read_nowait())
    parts: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            while part := await request.content.readany():
                size += len(part)
                if size > limit_bytes:
                    return Err(too_large)
                parts.append(part)
    except TimeoutError:
        return Err(reject(408, 'the body was not received in time'))
    except (web.RequestPayloadError, OSError):
        return Err(reject(400, 'the body was cut off'))
    if request.content_length not in {None, size}:
        return Err(reject(400, 'the body was cut off'))
    return Ok(b''.join(parts))


def reject(status: int, message: str) -> Rejection:
    """Returns the rejection of an invalid request."""
    failure = Failure.not_run(Step.VALIDATE, '', message, 'correct the request')
    return Rejection(status, failure)


def _find_problem(request: web.Request) -> str | None:
    if request.version < (1, 1):
        # In HTTP/1.0 a truncated streamed response looks complete.
        return 'HTTP/1.1 is required'
    if request.method not in _METHODS:
        return f'method {request.method[:20]} is not supported'
    if not _NAME_PATTERN.fullmatch(request.match_info['service']):
        return (
            'the service name must be 1 to 128 letters, digits, ".", "_" or "-", '
            'starting with a letter or digit'
        )
    # Dot segments could escape the service's path on the endpoint and reach, for
    # example, the worker's control interface.
    segments = unquote(request.rel_url.raw_path).replace('\\', '/').split('/')
    if {'.', '..'} & set(segments):
        return 'the path contains a "." or ".." segment'
    return _find_header_problem(request)


def _find_header_problem(request: web.Request) -> str | None:
    for name, pattern, rule in _HEADER_RULES:
        found = request.headers.getall(name, [])
        if len(found) > 1:
            return f'header {name} is present more than once'
        if found and not pattern.fullmatch(found[0]):
            return f'header {name} must be {rule}'
    return None


_HEADER_RULES = (
    (
        _TENANT_HEADER,
        _NAME_PATTERN,
        '1 to 128 letters, digits, ".", "_" or "-", starting with a letter or digit',
    ),
    (
        _DEADLINE_HEADER,
        _NUMBER_PATTERN,
        'a whole number of milliseconds from 1 to 999999999',
    ),
    (_REQUEST_ID_HEADER, _VISIBLE_ASCII_PATTERN, '1 to 200 visible ASCII characters'),
    (_KEY_HEADER, _VISIBLE_ASCII_PATTERN, '1 to 200 visible ASCII characters'),
)
