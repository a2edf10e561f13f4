"""HTTP interface for clients to submit, query and cancel jobs."""

import re
from collections.abc import Callable
from typing import Final

from aiohttp import web

from chiveworks.accounts import KeyCheck, KeyRefusal
from chiveworks.base import AccountName, Clock, JobId
from chiveworks.events import EventLog
from chiveworks.guard import BodyRefusal, read_body, was_turned_away
from chiveworks.intake import (
    Caller,
    IntakeVerdict,
    JobIntake,
    QueueCatalogue,
    QueueRoute,
    UnservableJob,
)
from chiveworks.platform._caller_check import CallerCheck, host_of
from chiveworks.platform._client_responses import (
    error_response,
    final_refusal,
    json_response,
    key_refusal,
    verdict_response,
)
from chiveworks.platform._decoding import decode_job
from chiveworks.workflow import JobState, Submission

_MIN_ERROR_STATUS: Final = 400
_JOB_ID: Final = re.compile('[0-9a-fA-F]{16}')
_RETRIABLE_STATUSES: Final = frozenset((429, 503))
#: Name of the client account of a request.
_ACCOUNT: Final = web.RequestKey('account', str)
#: Why a request was refused for its account or its lack of one.
_REFUSAL: Final = web.RequestKey('refusal', str)


class ClientApi:
    """Handles client requests according to the latest known configuration.

    Args:
        intake: Submits, cancels and queries jobs.
        catalogue: Returns the latest configuration; None before the first is read.
        closing: Returns whether to close each connection after its response.
        clock: Source of time.
        log: Log for requests that fail.
        retry_after_s: Returns when a refused client should come back, in whole seconds.
        caller_check: Identifies the client account of a request.
    """

    def __init__(
        self,
        intake: JobIntake,
        catalogue: Callable[[], QueueCatalogue | None],
        closing: Callable[[], bool],
        clock: Clock,
        log: EventLog,
        retry_after_s: Callable[[], int],
        caller_check: CallerCheck | None = None,
    ) -> None:
        self._caller_check = caller_check or CallerCheck(
            KeyCheck(), catalogue, _never_confirmed, clock
        )
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
        fields: dict[str, object] = {
            'job': request.path.rpartition('/')[2],
            'method': request.method,
            'host': host_of(request),
            'status': response.status,
            'reason': response.text,
            'configuration': catalogue and catalogue.version,
        }
        if _ACCOUNT in request:
            fields['account'] = request[_ACCOUNT]
        refusal = request.get(_REFUSAL)
        if refusal is None:
            self._log.write('request_refused', **fields)
        else:
            # Such calls can arrive at any rate from clients that may do nothing.
            self._log.write_sparse(
                'request_refused', refusal, outcome=refusal, **fields
            )

    async def _dispatch(self, request: web.BaseRequest) -> web.Response:
        catalogue = self._catalogue()
        if catalogue is None:
            return error_response(503, 'there is no configuration yet')
        route = catalogue.find(host_of(request), request.path)
        if route is None:
            return error_response(404, 'there is no such queue')
        caller = self._identify(request, route)
        if isinstance(caller, KeyRefusal):
            return key_refusal(caller)
        return await self._serve(request, route, caller)

    async def _serve(
        self, request: web.BaseRequest, route: QueueRoute, caller: Caller | None
    ) -> web.Response:
        job_id = request.path[len(route.prefix) :]
        if request.method == 'GET' and not job_id:
            return await self._count(route)
        if not _JOB_ID.fullmatch(job_id):
            return error_response(400, 'the path does not end in a job id')
        if request.method == 'POST':
            return await self._submit(request, route, JobId(job_id))
        if request.method == 'GET':
            return await self._describe(request, JobId(job_id), caller)
        if request.method == 'DELETE':
            verdict = await self._intake.cancel(JobId(job_id), caller)
            return _respond(request, verdict)
        return error_response(405, 'the method is not supported')

    def _identify(
        self, request: web.BaseRequest, route: QueueRoute
    ) -> Caller | KeyRefusal | None:
        """Checks the key of a request, and notes the result for the log."""
        caller = self._caller_check.identify(request, route)
        if isinstance(caller, KeyRefusal):
            request[_REFUSAL] = caller.value
        elif caller and caller.account:
            request[_ACCOUNT] = caller.account
        return caller

    async def _submit(
        self, request: web.BaseRequest, route: QueueRoute, job_id: JobId
    ) -> web.Response:
        body = await read_body(request)
        if isinstance(body, BodyRefusal):
            return error_response(body.status, body.message, closes=True)
        try:
            spec = decode_job(body)
        except ValueError as error:
            return error_response(400, str(error))
        # The key may have been revoked while the client sent the body.
        caller = self._identify(request, route)
        if isinstance(caller, KeyRefusal):
            return key_refusal(caller)
        submission = Submission(
            job_id,
            route.policy,
            spec,
            accepted_at=self._clock.now(),
            account=caller.account if caller else AccountName(''),
        )
        outcome = await self._intake.submit(submission, caller)
        if isinstance(outcome, UnservableJob):
            return final_refusal(outcome.reason)
        if outcome is IntakeVerdict.WITHDRAWN:
            return final_refusal('the job was cancelled before it was stored')
        return _respond(request, outcome)

    async def _describe(
        self, request: web.BaseRequest, job_id: JobId, caller: Caller | None
    ) -> web.Response:
        state = await self._intake.state(job_id, caller)
        if isinstance(state, JobState):
            return json_response({'state': state.value})
        return _respond(request, state)

    async def _count(self, route: QueueRoute) -> web.Response:
        pending = await self._intake.pending(route.policy.name)
        if pending is None:
            return error_response(503, 'the number is not known')
        return json_response({'pending': pending})


def _never_confirmed() -> None:
    """Returns the time up to which a configuration is known that is not followed."""


def _respond(request: web.BaseRequest, verdict: IntakeVerdict) -> web.Response:
    if verdict is IntakeVerdict.FOREIGN:
        request[_REFUSAL] = verdict.value
    return verdict_response(verdict)
