"""Control of a worker over HTTP with JSON bodies."""

from dataclasses import dataclass
from datetime import timedelta

from aiohttp import ClientSession
from result import Err, Ok, Result

from chiveworks.base import Attempt, Epoch, Failure, Step, TaskId
from chiveworks.base._http_answer import HttpAnswer
from chiveworks.base._http_caller import HttpCaller
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
_BROKEN = (KeyError, TypeError, ValueError)


@dataclass(frozen=True, slots=True)
class HttpWorkerControl:
    """Implements `WorkerControl`.

    Attributes:
        session: Session that the owner of the process closes.
        control_url: Base URL from the worker's entry in the instance list.
        timeout: Limit of a call in all.
        connect_timeout: Limit of the wait for a connection.
    """

    session: ClientSession
    control_url: str
    timeout: timedelta = timedelta(seconds=1)
    connect_timeout: timedelta = timedelta(milliseconds=500)

    async def renew(self, renewal: Renewal) -> Result[WorkerReport, Failure | Refusal]:
        """Extends the control lease and returns the worker's report."""
        sent = await self._send('renew', Step.RENEW, encode_renewal(renewal))
        if isinstance(sent, Err):
            return sent
        try:
            return Ok(decode_report(sent.ok_value.body))
        except _BROKEN:
            failure = self._caller().unexpected(sent.ok_value, Step.RENEW, writes=True)
            return Err(failure)

    async def start(self, order: StartOrder) -> Result[None, Failure | Refusal]:
        """Starts an attempt."""
        sent = await self._send('start', Step.START, encode_order(order))
        return sent.map(_nothing)

    async def stop(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt, *, checkpoint: bool
    ) -> Result[None, Failure | Refusal]:
        """Asks the worker to stop an attempt; a report confirms its end."""
        fields = {'checkpoint': checkpoint, **_attempt(epoch, task_id, attempt)}
        return (await self._send('stop', Step.STOP, encode_body(fields))).map(_nothing)

    async def throttle(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt, share: float
    ) -> Result[None, Failure | Refusal]:
        """Limits an attempt to `share` of its processors (above 0, at most 1)."""
        fields = {'share': share, **_attempt(epoch, task_id, attempt)}
        sent = await self._send('throttle', Step.SEND, encode_body(fields))
        return sent.map(_nothing)

    async def resize(
        self, epoch: Epoch, task_id: TaskId, attempt: Attempt, cpu_millicores: int
    ) -> Result[None, Failure | Refusal]:
        """Sets the processors held for an attempt."""
        fields = {'cpu_millicores': cpu_millicores, **_attempt(epoch, task_id, attempt)}
        sent = await self._send('resize', Step.SEND, encode_body(fields))
        return sent.map(_nothing)

    def _caller(self) -> HttpCaller:
        return HttpCaller(
            self.session, self.control_url, self.timeout, self.connect_timeout
        )

    async def _send(
        self, command: str, step: Step, body: bytes
    ) -> Result[HttpAnswer, Failure | Refusal]:
        caller = self._caller()
        sent = await caller.call('POST', f'/control/{command}', step, body=body)
        if isinstance(sent, Err):
            return sent
        answer = sent.ok_value
        if answer.status == _OK:
            return sent
        if answer.status == _CONFLICT:
            try:
                return Err(decode_refusal(answer.body))
            except _BROKEN:
                return Err(caller.unexpected(answer, step, writes=True))
        return Err(caller.unexpected(answer, step, writes=True))


def _attempt(epoch: Epoch, task_id: TaskId, attempt: Attempt) -> dict[str, object]:
    return {'epoch': epoch, 'task_id': task_id, 'attempt': attempt}


def _nothing(_: HttpAnswer) -> None:
    """Discards the answer's body."""
