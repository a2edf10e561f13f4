"""Client of a worker's control interface over HTTP, with JSON bodies."""

from dataclasses import dataclass
from datetime import timedelta

from aiohttp import ClientSession
from result import Err, Ok, Result

from chiveworks.base import Attempt, Epoch, Failure, Step, TaskId
from chiveworks.base._http_client import HttpClient
from chiveworks.base._http_response import HttpResponse
from chiveworks.workers._refusal import Refusal
from chiveworks.workers._renewal import Renewal
from chiveworks.workers._start_order import StartOrder
from chiveworks.workers._wire import (
    decode_refusal,
    decode_report,
    encode_body,
    encode_order,
    encode_renewal,
)
from chiveworks.workers._worker_report import WorkerReport

_OK = 200
_CONFLICT = 409
_DECODE_ERRORS = (KeyError, TypeError, ValueError)


@dataclass(frozen=True, slots=True)
class HttpWorkerControl:
    """Implementation of `WorkerControl` over HTTP.

    Attributes:
        session: HTTP session; the caller closes it.
        control_url: Base URL from the worker's entry in the instance list.
        timeout: Total time limit of a call.
        connect_timeout: Time limit for establishing a connection.
    """

    session: ClientSession
    control_url: str
    timeout: timedelta = timedelta(seconds=1)
    connect_timeout: timedelta = timedelta(milliseconds=500)

    async def renew(self, renewal: Renewal) -> Result[WorkerReport, Failure | Refusal]:
        """Extends the control lease and returns the worker's report."""
        outcome = await self._send('renew', Step.RENEW, encode_renewal(renewal))
        if isinstance(outcome, Err):
            return outcome
        try:
            return Ok(decode_report(outcome.ok_value.body))
        except _DECODE_ERRORS:
            failure = self._create_client().unexpected(
                outcome.ok_value, Step.RENEW, writes=True
            )
            return Err(failure)

    async def start(self, order: StartOrder) -> Result[None, Failure | Refusal]:
        """Starts an attempt."""
        outcome = await self._send('start', Step.START, encode_order(order))
        return outcome.map(_discard_body)

    async def stop(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt, *, checkpoint: bool
    ) -> Result[None, Failure | Refusal]:
        """Requests that an attempt be stopped; a later report confirms its end."""
        fields = {'checkpoint': checkpoint, **_attempt_fields(epoch, task_id, attempt)}
        return (await self._send('stop', Step.STOP, encode_body(fields))).map(
            _discard_body
        )

    async def throttle(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt, share: float
    ) -> Result[None, Failure | Refusal]:
        """Limits an attempt to a share of its CPU (above 0, at most 1)."""
        fields = {'share': share, **_attempt_fields(epoch, task_id, attempt)}
        outcome = await self._send('throttle', Step.SEND, encode_body(fields))
        return outcome.map(_discard_body)

    async def resize(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt, cpu_millicores: int
    ) -> Result[None, Failure | Refusal]:
        """Sets the CPU allocated to an attempt."""
        fields = {
            'cpu_millicores': cpu_millicores,
            **_attempt_fields(epoch, task_id, attempt),
        }
        outcome = await self._send('resize', Step.SEND, encode_body(fields))
        return outcome.map(_discard_body)

    def _create_client(self) -> HttpClient:
        return HttpClient(
            self.session, self.control_url, self.timeout, self.connect_timeout
        )

    async def _send(
        self, command: str, step: Step, body: bytes
    ) -> Result[HttpResponse, Failure | Refusal]:
        client = self._create_client()
        outcome = await client.call('POST', f'/control/{command}', step, body=body)
        if isinstance(outcome, Err):
            return outcome
        response = outcome.ok_value
        if response.status == _OK:
            return outcome
        if response.status == _CONFLICT:
            try:
                return Err(decode_refusal(response.body))
            except _DECODE_ERRORS:
                return Err(client.unexpected(response, step, writes=True))
        return Err(client.unexpected(response, step, writes=True))


def _attempt_fields(
    epoch: Epoch, task_id: TaskId, attempt: Attempt
) -> dict[str, object]:
    return {'epoch': epoch, 'task_id': task_id, 'attempt': attempt}


def _discard_body(_: HttpResponse) -> None:
    """Discards the body of the response."""
