"""One worker's interface over HTTP."""

from collections.abc import Mapping
from datetime import timedelta
from functools import lru_cache
from types import MappingProxyType
from typing import Any, Final

from result import Err, Ok, Result

from chiveworks.base import Epoch, Failure, JobId, Step
from chiveworks.dispatch import (
    EndKind,
    EndRow,
    OrderOutcome,
    RunRow,
    StartOrder,
    WorkerInfo,
    WorkerReport,
)
from chiveworks.platform._channel import Channel, Reply
from chiveworks.workflow import TaskRef

#: Limit of an order; workers answer in a few ms.
ORDER_LIMIT: Final = timedelta(milliseconds=350)
#: Time for the answer of a look past its wait.
LOOK_MARGIN: Final = timedelta(milliseconds=500)

_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_MISDIRECTED = 421
_MILLISECOND: Final = timedelta(milliseconds=1)
# Names of tasks recur in every look while they run.
_CACHED_NAMES: Final = 20_000

_REASONS: Final = MappingProxyType(
    {
        'fence': OrderOutcome.FENCED,
        'old': OrderOutcome.SUPERSEDED,
        'late': OrderOutcome.EXPIRED,
        'room': OrderOutcome.NO_ROOM,
        'ticket': OrderOutcome.NO_TICKET,
    }
)
_ENDS: Final = MappingProxyType(
    {
        'done': EndKind.DONE,
        'failed': EndKind.FAILED,
        'stopped': EndKind.STOPPED,
        'lapsed': EndKind.LAPSED,
        'broken': EndKind.GANG_BROKEN,
        'alone': EndKind.GANG_ALONE,
    }
)


class HttpWorker:
    """Calls of one incarnation of a worker."""

    def __init__(self, info: WorkerInfo) -> None:
        self._channel = Channel(
            info.address, ORDER_LIMIT, {'X-Expect-Instance': info.worker_id}
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
        """Sets the pace of a run."""
        body = {
            'task': encode_ref(ref),
            'run': attempt,
            'percent': percent,
            'fencing_token': token,
        }
        return await self._order('/v1/pace', Step.SEND, body)

    async def hold(
        self,
        token: Epoch,
        acknowledged: int,
        lease_end: timedelta | None,
        wait: timedelta,
    ) -> Result[WorkerReport | None, Failure]:
        """Extends the lease and looks at the worker."""
        body: dict[str, object] = {
            'fencing_token': token,
            'last_seen': acknowledged,
            'wait_ms': wait // _MILLISECOND,
        }
        if lease_end is not None:
            body['until_ms'] = lease_end // _MILLISECOND
        answer = await self._channel.call(
            'POST', '/v1/hold', Step.RENEW, body=body, timeout=wait + LOOK_MARGIN
        )
        if isinstance(answer, Err):
            return answer
        status, reply = answer.ok_value
        if status == _MISDIRECTED:
            return Ok(None)
        try:
            return Ok(_decode_report(reply))
        except (LookupError, TypeError, ValueError) as error:
            message = f'status {status}, unusable list: {error!r}'
            return Err(Failure.unknown(Step.RENEW, 'worker', message))

    async def reset(self) -> None:
        """Drops all connections."""
        await self._channel.reset()

    async def close(self) -> None:
        """Closes all connections."""
        await self._channel.close()

    async def _order(self, path: str, step: Step, body: object) -> OrderOutcome:
        answer = await self._channel.call('POST', path, step, body=body)
        if isinstance(answer, Err):
            failure = answer.err_value
            unanswered = failure.verdict.value == 'outcome_unknown'
            return OrderOutcome.UNKNOWN if unanswered else OrderOutcome.UNHEALTHY
        return _decode_outcome(answer.ok_value)


def encode_ref(ref: TaskRef) -> str:
    """Returns the platform's name of a task."""
    return f'{ref.job_id}.{ref.occurrence}.{ref.step}.{ref.position}'


@lru_cache(_CACHED_NAMES)
def decode_ref(name: str) -> TaskRef:
    """Returns the task that a name of the platform stands for.

    Raises:
        ValueError: The name is not that of a task.
    """
    job_id, occurrence, step, index = name.split('.')
    return TaskRef(JobId(job_id), int(occurrence), int(step), int(index))


def _decode_outcome(reply: Reply) -> OrderOutcome:
    status, body = reply
    if status == _OK:
        return OrderOutcome.ACCEPTED
    if status == _MISDIRECTED:
        return OrderOutcome.GONE
    if status == _CONFLICT and isinstance(body, dict):
        return _REASONS.get(body.get('reason', ''), OrderOutcome.INVALID)
    return OrderOutcome.INVALID


def _decode_report(body: Mapping[str, Any]) -> WorkerReport:
    return WorkerReport(
        body['clock_ms'] * _MILLISECOND,
        body.get('born') or 0,
        [_decode_run(row) for row in body['running']],
        [_decode_end(row) for row in body['finished']],
    )


def _decode_run(row: list[Any]) -> RunRow:
    measured = int(row[4]) if len(row) > 4 and row[4] else 0
    return RunRow(decode_ref(row[0]), row[1], row[2], row[3], measured)


def _decode_end(row: list[Any]) -> EndRow:
    kind = _ENDS.get(row[3], EndKind.STOPPED)
    return EndRow(row[0], decode_ref(row[1]), row[2], kind, row[4])
