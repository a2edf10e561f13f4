"""Decoding of commands to a worker, and encoding of the responses."""

from collections.abc import Mapping
from typing import Any

from aiohttp import web
from result import Err, Ok, Result

from chiveworks.base import Attempt, Epoch, Resources, TaskId, TicketMs
from chiveworks.workers import Refusal, RefusalReason, Renewal, StartOrder
from standins.workers._worker import SimulatedWorker

_CONFLICT = 409
_Fields = Mapping[str, Any]


def run_command(
    worker: SimulatedWorker, command: str, fields: _Fields
) -> Result[dict[str, object], Refusal]:
    """Runs a control command and returns the body of the response."""
    if command == 'renew':
        return worker.renew(_decode_renewal(fields)).map(
            lambda report: report.to_json()
        )
    outcome = _run_attempt_command(worker, command, fields)
    if isinstance(outcome, Err):
        return outcome
    return Ok({'ticket_ms': worker.ticket()})


def run_override(worker: SimulatedWorker, fields: _Fields) -> bool:
    """Applies a manual override; False when it does not apply."""
    task_id = TaskId(fields['task_id'])
    match fields['action']:
        case 'stop':
            return worker.override_stop(task_id)
        case 'resize':
            return worker.override_resize(task_id, int(fields['cpu_millicores']))
        case 'start':
            return worker.override_start(decode_order({'task': fields}))
    raise web.HTTPBadRequest(text='action must be stop, resize or start')


def decode_order(fields: _Fields) -> StartOrder:
    """Decodes a start command. All fields of the task except its id have defaults."""
    task = fields['task']
    resources = Resources(
        int(task.get('cpu_millicores', 0)),
        int(task.get('memory_bytes', 0)),
        int(task.get('accelerators', 0)),
    )
    return StartOrder(
        Epoch(fields.get('epoch', 0)),
        TicketMs(fields.get('ticket_ms', 0)),
        TaskId(task['task_id']),
        Attempt(task.get('attempt', 1)),
        task.get('kind', 'manual'),
        task.get('payload', ''),
        resources,
        task.get('checkpoint', ''),
    )


def refusal_response(worker: SimulatedWorker, refusal: Refusal) -> web.Response:
    """Returns the response to a refused command."""
    fields = {
        'reason': refusal.reason.value,
        'epoch': refusal.epoch,
        'ticket_ms': worker.ticket(),
        'message': refusal.message or refusal.reason.value,
    }
    return web.json_response(fields, status=_CONFLICT)


def _run_attempt_command(
    worker: SimulatedWorker, command: str, fields: _Fields
) -> Result[None, Refusal]:
    if command == 'start':
        return worker.start(decode_order(fields))
    key = (
        Epoch(fields['epoch']),
        TaskId(fields['task_id']),
        Attempt(fields['attempt']),
    )
    match command:
        case 'stop':
            checkpoint = bool(fields.get('checkpoint'))
            return worker.stop(*key, checkpoint=checkpoint)
        case 'throttle':
            return worker.throttle(*key, float(fields['share']))
        case 'resize':
            return worker.resize(*key, int(fields['cpu_millicores']))
    return Err(Refusal(RefusalReason.REFUSED, key[0], f'unknown command {command}'))


def _decode_renewal(fields: _Fields) -> Renewal:
    acknowledged = tuple(
        (TaskId(task_id), Attempt(attempt))
        for task_id, attempt in fields.get('acknowledged', ())
    )
    return Renewal(
        fields.get('owner', ''),
        Epoch(fields['epoch']),
        int(fields['lease_ms']),
        TicketMs(fields['ticket_ms']),
        acknowledged,
    )
