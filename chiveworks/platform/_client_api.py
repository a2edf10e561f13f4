"""HTTP interface for clients to submit, query and cancel jobs."""

import json
import re
from collections.abc import Callable
from typing import Final

from aiohttp import web

from chiveworks.base import Clock, JobId
from chiveworks.events import EventLog
from chiveworks.guard import BodyRefusal, read_body, was_turned_away
from chiveworks.intake import (
    IntakeVerdict,
    JobIntake,
    QueueCatalogue,
    QueueRoute,
    UnservableJob,
)
from chiveworks.platform._decoding import decode_job
from chiveworks.workflow import JobState, Submission

_MIN_ERROR_STATUS: Final = 400
_JOB_ID: Final = re.compile('[0-9a-fA-F]{16}')
#: Time after which the client of a job that never runs under its id should come back at
#: the earliest. Larger workers are added by operators, which takes minutes.
UNSERVABLE_RETRY_S: Final = 120
_RETRIABLE_STATUSES: Final = frozenset((429, 503))


class ClientApi:
    """Handles client requests according to the latest known configuration.

    Args:
        intake: Submits, cancels and queries jobs.
        catalogue: Returns the latest configuration; None before the first is read.
        closing: Returns whether to close each connection after its response.
        clock: Source of time.
        log: Log for requests that fail.
        retry_after_s: Returns when a refused client should come back, in whole seconds.
    """

    def __init__(
        self,
        intake: JobIntake,
        catalogue: Callable[[], QueueCatalogue | None],
        closing: Callable[[], bool],
        clock: Clock,
        log: EventLog,
        retry_after_s: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._retry_after_s = retry_after_s
        self._log = log
        self._intake = intake
        self._catalogue = catalogue
        self._closing = closing

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Handles one request."""
        response = await self._dispatch(request)
        if response.status in _RETRIABLE_STATUSES:
            response.headers.setdefault('Retry-After', str(self._retry_after_s()))
        # The guard of the server logs what it turns away, in one line per second.
        if response.status >= _MIN_ERROR_STATUS and not was_turned_away(request):
            self._log_error_response(request, response)
        if self._closing():
            response.force_close()
        return response

    def _log_error_response(
        self, request: web.BaseRequest, response: web.Response
    ) -> None:
        catalogue = self._catalogue()
        self._log.write(
            'request_refused',
            job=request.path.rpartition('/')[2],
            method=request.method,
            host=_host(request),
            status=response.status,
            reason=response.text,
            configuration=catalogue and catalogue.version,
        )

    async def _dispatch(self, request: web.BaseRequest) -> web.Response:
        catalogue = self._catalogue()
        if catalogue is None:
            return _error_response(503, 'there is no configuration yet')
        route = catalogue.find(_host(request), request.path)
        if route is None:
            return _error_response(404, 'there is no such queue')
        job_id = request.path[len(route.prefix) :]
        if request.method == 'GET' and not job_id:
            return await self._count(route)
        if not _JOB_ID.fullmatch(job_id):
            return _error_response(400, 'the path does not end in a job id')
        if request.method == 'POST':
            return await self._submit(request, route, JobId(job_id))
        if request.method == 'GET':
            return await self._describe(JobId(job_id))
        if request.method == 'DELETE':
            return await self._cancel(JobId(job_id))
        return _error_response(405, 'the method is not supported')

    async def _submit(
        self, request: web.BaseRequest, route: QueueRoute, job_id: JobId
    ) -> web.Response:
        body = await read_body(request)
        if isinstance(body, BodyRefusal):
            return _error_response(body.status, body.message, closes=True)
        try:
            spec = decode_job(body)
        except ValueError as error:
            return _error_response(400, str(error))
        submission = Submission(
            job_id, route.policy, spec, accepted_at=self._clock.now()
        )
        outcome = await self._intake.submit(submission)
        if isinstance(outcome, UnservableJob):
            return _final_refusal(outcome.reason)
        if outcome is IntakeVerdict.WITHDRAWN:
            return _final_refusal('the job was cancelled before it was stored')
        return _verdict_response(outcome)

    async def _cancel(self, job_id: JobId) -> web.Response:
        return _verdict_response(await self._intake.cancel(job_id))

    async def _describe(self, job_id: JobId) -> web.Response:
        state = await self._intake.state(job_id)
        if isinstance(state, JobState):
            return _json_response({'state': state.value})
        return _verdict_response(state)

    async def _count(self, route: QueueRoute) -> web.Response:
        pending = await self._intake.pending(route.policy.name)
        if pending is None:
            return _error_response(503, 'the number is not known')
        return _json_response({'pending': pending})


def _host(request: web.BaseRequest) -> str:
    return request.headers.get('Host', '').partition(':')[0]


def _json_response(fields: dict[str, object]) -> web.Response:
    return web.Response(
        body=json.dumps(fields).encode(), content_type='application/json'
    )


def _error_response(status: int, reason: str, *, closes: bool = False) -> web.Response:
    response = web.json_response({'error': reason}, status=status)
    if closes:
        response.force_close()
    return response


def _final_refusal(reason: str) -> web.Response:
    # The protocol has no other status for a job that is not accepted and never runs.
    response = _error_response(503, f'not run: {reason}')
    response.headers['Retry-After'] = str(UNSERVABLE_RETRY_S)
    return response


def _verdict_response(verdict: IntakeVerdict) -> web.Response:
    if verdict is IntakeVerdict.ACCEPTED:
        return _json_response({})
    if verdict is IntakeVerdict.NOT_FOUND:
        return _error_response(410, 'there is no such job')
    if verdict is IntakeVerdict.REFUSED:
        return _error_response(503, 'not run: the store is not available')
    if verdict is IntakeVerdict.THROTTLED:
        return _error_response(429, 'not run: too many unknown jobs are cancelled')
    if verdict is IntakeVerdict.UNREADABLE:
        return _error_response(500, 'not run: the stored record cannot be read')
    return _error_response(504, 'outcome unknown: the store did not answer')
