"""HTTP interface for clients: jobs by the path of their queue."""

import json
import re
from collections.abc import Callable
from typing import Final

from aiohttp import web

from chiveworks.base import Clock, JobId
from chiveworks.events import EventLog
from chiveworks.intake import IntakeVerdict, JobIntake, QueueCatalogue, QueueRoute
from chiveworks.platform._decoding import decode_job
from chiveworks.workflow import JobState, Submission

_REFUSAL: Final = 400
_JOB_ID: Final = re.compile('[0-9a-fA-F]{16}')
#: When a refused client may come back, in whole seconds as the header has them.
RETRY_AFTER_S: Final = '1'


class ClientFront:
    """Answers clients from the newest configuration that is known.

    Args:
        intake: Takes jobs in.
        catalogue: Returns the newest configuration; None before the first.
        closing: Whether connections are to be closed after their answer.
        clock: Source of time.
        log: Where refusals are written.
    """

    def __init__(
        self,
        intake: JobIntake,
        catalogue: Callable[[], QueueCatalogue | None],
        closing: Callable[[], bool],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._clock = clock
        self._log = log
        self._intake = intake
        self._catalogue = catalogue
        self._closing = closing

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answers one request."""
        response = await self._dispatch(request)
        if response.status >= _REFUSAL:
            self._log_refusal(request, response)
        if self._closing():
            response.force_close()
        return response

    def _log_refusal(self, request: web.BaseRequest, response: web.Response) -> None:
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
            return _answer(503, 'there is no configuration yet')
        route = catalogue.find(_host(request), request.path)
        if route is None:
            return _answer(404, 'there is no such queue')
        job_id = request.path[len(route.prefix) :]
        if request.method == 'GET' and not job_id:
            return await self._count(route)
        if not _JOB_ID.fullmatch(job_id):
            return _answer(400, 'the path does not end in a job id')
        if request.method == 'POST':
            return await self._submit(request, route, JobId(job_id))
        if request.method == 'GET':
            return await self._describe(JobId(job_id))
        if request.method == 'DELETE':
            return await self._cancel(JobId(job_id))
        return _answer(405, 'the method is not supported')

    async def _submit(
        self, request: web.BaseRequest, route: QueueRoute, job_id: JobId
    ) -> web.Response:
        try:
            spec = decode_job(await request.read())
        except ValueError as error:
            return _answer(400, str(error))
        submission = Submission(
            job_id, route.policy, spec, accepted_at=self._clock.now()
        )
        return _verdict_answer(await self._intake.submit(submission))

    async def _cancel(self, job_id: JobId) -> web.Response:
        return _verdict_answer(await self._intake.cancel(job_id))

    async def _describe(self, job_id: JobId) -> web.Response:
        state = await self._intake.state(job_id)
        if isinstance(state, JobState):
            return _json({'state': state.value})
        return _verdict_answer(state)

    async def _count(self, route: QueueRoute) -> web.Response:
        pending = await self._intake.pending(route.policy.name)
        if pending is None:
            return _answer(503, 'the number is not known')
        return _json({'pending': pending})


def _host(request: web.BaseRequest) -> str:
    return request.headers.get('Host', '').partition(':')[0]


def _json(fields: dict[str, object]) -> web.Response:
    return web.Response(
        body=json.dumps(fields).encode(), content_type='application/json'
    )


def _answer(status: int, reason: str) -> web.Response:
    response = web.json_response({'error': reason}, status=status)
    if status in {429, 503}:
        response.headers['Retry-After'] = RETRY_AFTER_S
    return response


def _verdict_answer(verdict: IntakeVerdict) -> web.Response:
    if verdict is IntakeVerdict.ACCEPTED:
        return _json({})
    if verdict is IntakeVerdict.NOT_FOUND:
        return _answer(410, 'there is no such job')
    if verdict is IntakeVerdict.REFUSED:
        return _answer(503, 'not run: the store is not available')
    return _answer(504, 'outcome unknown: the store did not answer')
