"""HTTP client of a worker."""

from datetime import timedelta
from types import MappingProxyType
from typing import Final

from result import Err, Ok, Result

from chiveworks.base import Epoch, Failure, Step
from chiveworks.dispatch import (
    OrderOutcome,
    StartOrder,
    WorkerInfo,
    WorkerReport,
)
from chiveworks.platform._channel import Channel, Reply
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
    """Client of one incarnation of a worker.

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
        return await self._order('/v1/run-start', Step.START, body)

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
    ) -> Result[WorkerReport | None, Failure]:
        """Extends the lease and waits for a report of the worker."""
        body: dict[str, object] = {
            'fencing_token': token,
            'last_seen': acknowledged,
            'wait_ms': wait // _MILLISECOND,
        }
        if lease_end is not None:
            body['until_ms'] = lease_end // _MILLISECOND
        result = await self._channel.call(
            'POST',
            '/v1/hold',
            Step.RENEW,
            body=body,
            timeout=wait + POLL_TIMEOUT_MARGIN,
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

    async def _order(self, path: str, step: Step, body: object) -> OrderOutcome:
        result = await self._channel.call('POST', path, step, body=body)
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
