"""HTTP client of a worker."""

from datetime import timedelta
from types import MappingProxyType
from typing import Final

import orjson
from result import Err, Ok, Result

from chiveworks.base import Epoch, Failure, Step
from chiveworks.base._http_response import HttpResponse
from chiveworks.dispatch import (
    OrderOutcome,
    StartOrder,
    WorkerInfo,
    WorkerReport,
)
from chiveworks.platform._channel import Channel, Reply
from chiveworks.platform._fields import parse_json
from chiveworks.platform._peer_check import PeerCheck
from chiveworks.platform._worker_reports import decode_report, encode_ref
from chiveworks.workflow import TaskRef

#: Timeout of an order; workers respond in a few ms.
ORDER_TIMEOUT: Final = timedelta(milliseconds=350)
#: Timeout of a poll beyond its wait.
POLL_TIMEOUT_MARGIN: Final = timedelta(milliseconds=500)

#: Maximum number of connections to a worker: one for polls, the others for orders. A
#: group of tasks that start together shares them; a connection costs more than a wait of
#: a few ms.
CONNECTION_LIMIT: Final = 4

_POLL_PATH = '/v1/hold'
_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
#: Sent if the worker is not the one named in `X-Expect-Instance`.
_MISDIRECTED = 421
_MILLISECOND: Final = timedelta(milliseconds=1)

_REFUSAL_OUTCOMES: Final = MappingProxyType(
    {
        'fence': OrderOutcome.FENCED,
        'old': OrderOutcome.SUPERSEDED,
        'late': OrderOutcome.EXPIRED,
        'room': OrderOutcome.NO_ROOM,
        'ticket': OrderOutcome.NO_TICKET,
    }
)


class HttpWorker:
    """Client of a worker.

    Polls that acknowledge ends or extend the lease, and starts, only go over connections
    on which the incarnation that they are meant for has responded. A worker that starts
    again under its id would execute those of its former life, since the header names
    the id only.

    Args:
        info: Address and id of the worker.
    """

    def __init__(self, info: WorkerInfo) -> None:
        self._channel = Channel(
            info.address,
            ORDER_TIMEOUT,
            {'X-Expect-Instance': info.worker_id},
            CONNECTION_LIMIT,
        )

    async def start(self, order: StartOrder) -> OrderOutcome:
        """Starts a run."""
        body = {
            'task': encode_ref(order.ref),
            'run': order.attempt,
            'spec': order.payload,
            'until_ms': order.lease_end // _MILLISECOND,
            'fencing_token': order.token,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        check = self._check(order.born_ms, order.token)
        return await self._order('/v1/run-start', Step.START, body, check)

    async def stop(self, ref: TaskRef, attempt: int, token: Epoch) -> OrderOutcome:
        """Stops a run."""
        body = {'task': encode_ref(ref), 'run': attempt, 'fencing_token': token}
        return await self._order('/v1/run-stop', Step.STOP, body)

    async def set_pace(
        self, ref: TaskRef, attempt: int, percent: int, token: Epoch
    ) -> OrderOutcome:
        """Sets the speed of a run, in percent of its full speed."""
        body = {
            'task': encode_ref(ref),
            'run': attempt,
            'percent': percent,
            'fencing_token': token,
        }
        return await self._order('/v1/pace', Step.SEND, body)

    async def poll(
        self,
        token: Epoch,
        acknowledged: int,
        lease_end: timedelta | None,
        wait: timedelta,
        born_ms: int = 0,
    ) -> Result[WorkerReport | None, Failure]:
        """Extends the lease and waits for a report of the worker.

        The first poll on a connection only asks for the report.
        """
        body: dict[str, object] = {
            'fencing_token': token,
            'last_seen': acknowledged,
            'wait_ms': wait // _MILLISECOND,
        }
        if lease_end is not None:
            body['until_ms'] = lease_end // _MILLISECOND
        result = await self._channel.call(
            'POST',
            _POLL_PATH,
            Step.RENEW,
            body=body,
            timeout=wait + POLL_TIMEOUT_MARGIN,
            check=self._check(born_ms, token, answers_request=True),
        )
        if isinstance(result, Err):
            return result
        status, reply = result.ok_value
        if status == _MISDIRECTED:
            return Ok(None)
        try:
            return Ok(decode_report(reply))
        except ValueError as error:
            message = f'status {status}, unusable report: {error}'
            return Err(Failure.unknown(Step.RENEW, 'worker', message))

    async def reset(self) -> None:
        """Closes all connections; the next call opens new ones."""
        await self._channel.reset()

    async def close(self) -> None:
        """Closes all connections."""
        await self._channel.close()

    def _check(
        self, born_ms: int, token: Epoch, *, answers_request: bool = False
    ) -> PeerCheck:
        body = orjson.dumps({'fencing_token': token, 'last_seen': 0, 'wait_ms': 0})

        def identify(response: HttpResponse) -> int | None:
            return _decode_incarnation(response, born_ms)

        return PeerCheck(born_ms, _POLL_PATH, body, identify, answers_request)

    async def _order(
        self, path: str, step: Step, body: object, check: PeerCheck | None = None
    ) -> OrderOutcome:
        result = await self._channel.call('POST', path, step, body=body, check=check)
        if isinstance(result, Err):
            failure = result.err_value
            outcome_unknown = failure.verdict.value == 'outcome_unknown'
            return OrderOutcome.UNKNOWN if outcome_unknown else OrderOutcome.UNHEALTHY
        return _decode_outcome(result.ok_value)


def _decode_outcome(reply: Reply) -> OrderOutcome:
    status, body = reply
    if status == _OK:
        return OrderOutcome.ACCEPTED
    if status == _MISDIRECTED:
        return OrderOutcome.GONE
    if status == _CONFLICT and isinstance(body, dict):
        reason = str(body.get('reason'))
        return _REFUSAL_OUTCOMES.get(reason, OrderOutcome.INVALID)
    return OrderOutcome.INVALID


def _decode_incarnation(response: HttpResponse, expected_ms: int) -> int | None:
    """Returns the start time in a report; the expected one if it does not name any."""
    if response.status != _OK:
        return None
    try:
        report = decode_report(parse_json(response.body))
    except ValueError:
        # The caller names the reason if it has to use this report.
        return None
    return report.born_ms or expected_ms
