"""JSON encoding of a worker's control interface."""

import json
from collections.abc import Mapping
from typing import Any

from chiveworks.base import (
    Attempt,
    BootId,
    Epoch,
    Resources,
    TaskId,
    TicketMs,
    WorkerId,
)
from chiveworks.workers._refusal import Refusal, RefusalReason
from chiveworks.workers._renewal import Renewal
from chiveworks.workers._reported_state import ReportedState
from chiveworks.workers._start_order import StartOrder
from chiveworks.workers._stop_cause import StopCause
from chiveworks.workers._task_report import TaskReport
from chiveworks.workers._usage_sample import UsageSample
from chiveworks.workers._worker_report import WorkerReport


def encode_body(fields: Mapping[str, object]) -> bytes:
    """Encodes a JSON body without optional whitespace."""
    return json.dumps(fields, separators=(',', ':')).encode()


def encode_renewal(renewal: Renewal) -> bytes:
    """Encodes the body of a renew command."""
    return encode_body(
        {
            'owner': renewal.owner,
            'epoch': renewal.epoch,
            'lease_ms': renewal.lease_ms,
            'ticket_ms': renewal.ticket,
            'acknowledged': renewal.acknowledged,
        }
    )


def encode_order(order: StartOrder) -> bytes:
    """Encodes the body of a start command."""
    task = {
        'task_id': order.task_id,
        'attempt': order.attempt,
        'kind': order.kind,
        'payload': order.payload,
        'cpu_millicores': order.resources.cpu_millicores,
        'memory_bytes': order.resources.memory_bytes,
        'accelerators': order.resources.accelerators,
        'checkpoint': order.checkpoint,
    }
    return encode_body(
        {
            'epoch': order.epoch,
            'ticket_ms': order.ticket,
            'task': task,
        }
    )


def decode_refusal(body: bytes) -> Refusal:
    """Decodes a refusal; unknown reasons become `REFUSED`."""
    fields = json.loads(body)
    reason = fields['reason']
    known = {member.value for member in RefusalReason}
    return Refusal(
        RefusalReason(reason) if reason in known else RefusalReason.REFUSED,
        Epoch(fields.get('epoch', 0)),
        fields.get('message', reason),
    )


def decode_report(body: bytes) -> WorkerReport:
    """Decodes the response to a renew command."""
    fields = json.loads(body)
    ticket = TicketMs(int(fields['ticket_ms']))
    return WorkerReport(
        worker=WorkerId(fields['worker']),
        boot_id=BootId(fields['boot_id']),
        epoch=Epoch(fields['epoch']),
        ticket=ticket,
        lease_left_ms=int(fields['lease_left_ms']),
        tasks=tuple(_decode_task(task) for task in fields['tasks']),
        usage=tuple(_decode_usage(usage, ticket) for usage in fields['usage']),
    )


def _decode_task(fields: Mapping[str, Any]) -> TaskReport:
    return TaskReport(
        task_id=TaskId(fields['task_id']),
        attempt=Attempt(fields['attempt']),
        state=ReportedState(fields['state']),
        allotted=_decode_resources(fields),
        result=fields.get('result', ''),
        checkpoint=fields.get('checkpoint', ''),
        cause=StopCause(fields.get('cause', '')),
    )


def _decode_usage(fields: Mapping[str, Any], ticket: TicketMs) -> UsageSample:
    return UsageSample(
        task_id=TaskId(fields['task_id']),
        used=_decode_resources(fields),
        slowdown=float(fields['slowdown']),
        age_ms=max(ticket - int(fields['at_ms']), 0),
    )


def _decode_resources(fields: Mapping[str, Any]) -> Resources:
    return Resources(
        int(fields['cpu_millicores']),
        int(fields['memory_bytes']),
        int(fields.get('accelerators', 0)),
    )
