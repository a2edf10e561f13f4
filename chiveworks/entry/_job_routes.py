"""HTTP handlers for jobs."""

from http import HTTPStatus
from types import MappingProxyType

from aiohttp import web
from pydantic import JsonValue, TypeAdapter, ValidationError
from result import Err, Result

from chiveworks.base import EntryName, Failure, JobId, TenantName
from chiveworks.entry._catalogue_responses import (
    bad_request,
    describe_validation_error,
    failure_response,
    not_found,
)
from chiveworks.entry._job_gateway import JobGateway
from chiveworks.entry._job_request import JobRequest
from chiveworks.jobs import job_id_of
from chiveworks.membership import FailureReason, JobSubmission, JobView, reason_of

_JOB_PATH = '/v1/jobs/{tenant}/{key}'
_JOB_ADAPTER = TypeAdapter(JobView)
_STATUS_OF_REASON = MappingProxyType(
    {
        FailureReason.KEY_REUSED: HTTPStatus.CONFLICT,
        FailureReason.CONFLICT: HTTPStatus.CONFLICT,
        FailureReason.UNKNOWN_ENTRY: HTTPStatus.NOT_FOUND,
        FailureReason.UNKNOWN_JOB: HTTPStatus.NOT_FOUND,
        FailureReason.UNKNOWN_OVERRIDE: HTTPStatus.NOT_FOUND,
    }
)


def add_job_routes(app: web.Application, gateway: JobGateway) -> None:
    """Adds the job endpoints to an application."""
    routes = _JobRoutes(gateway)
    app.add_routes(
        [
            web.post('/v1/jobs', routes.submit),
            web.get('/v1/jobs', routes.list_tenant),
            web.get(_JOB_PATH, routes.describe),
            web.delete(_JOB_PATH, routes.cancel),
        ]
    )


def shard_failure_response(failure: Failure) -> web.Response:
    """Returns the response to a failed shard call, with its reason if it has one."""
    reason = reason_of(failure)
    named = reason is not FailureReason.UNSPECIFIED
    extra: dict[str, JsonValue] = {'reason': reason.value} if named else {}
    response = failure_response(failure, **extra)
    if reason in _STATUS_OF_REASON:
        response.set_status(_STATUS_OF_REASON[reason])
        response.headers.popall('Retry-After', None)
    if named:
        response.headers['X-Chiveworks-Reason'] = reason.value
    return response


class _JobRoutes:
    def __init__(self, gateway: JobGateway) -> None:
        self._gateway = gateway

    async def submit(self, request: web.Request) -> web.Response:
        try:
            body = JobRequest.model_validate_json(await request.read())
            body.check_size()
        except ValidationError as error:
            return bad_request(describe_validation_error(error))
        except ValueError as error:
            return bad_request(str(error))
        registered = await self._gateway.submit(body.submission())
        if isinstance(registered, Err):
            return shard_failure_response(registered.err_value)
        registration = registered.ok_value
        status = HTTPStatus.ACCEPTED if registration.created else HTTPStatus.OK
        return web.json_response(_job_fields(registration.job), status=status)

    async def describe(self, request: web.Request) -> web.Response:
        return _job_response(request, await self._gateway.describe(_job_id(request)))

    async def cancel(self, request: web.Request) -> web.Response:
        return _job_response(request, await self._gateway.cancel(_job_id(request)))

    async def list_tenant(self, request: web.Request) -> web.Response:
        tenant = request.query.get('tenant', '')
        if not tenant:
            return bad_request('the query must contain tenant=NAME')
        listed = await self._gateway.list_tenant(TenantName(tenant))
        if isinstance(listed, Err):
            return shard_failure_response(listed.err_value)
        return web.json_response(
            {'jobs': [_job_fields(job) for job in listed.ok_value]}
        )


def _job_response(
    request: web.Request, found: Result[JobView | None, Failure]
) -> web.Response:
    if isinstance(found, Err):
        return shard_failure_response(found.err_value)
    if found.ok_value is None:
        key = request.match_info['key']
        tenant = request.match_info['tenant']
        return not_found(f'tenant {tenant} has no job with key {key}')
    return web.json_response(_job_fields(found.ok_value))


def _job_id(request: web.Request) -> JobId:
    tenant = TenantName(request.match_info['tenant'])
    key = request.match_info['key']
    return job_id_of(JobSubmission(tenant, key, EntryName(''), ()))


def _job_fields(job: JobView) -> object:
    return _JOB_ADAPTER.dump_python(job, mode='json')
