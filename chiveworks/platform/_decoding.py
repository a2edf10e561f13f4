"""Decoders of data written by operators, workers and clients."""

import math
import re
from datetime import datetime, timedelta, timezone
from typing import Final

from chiveworks.accounts import AccountDirectory, ClientAccount, digest_key
from chiveworks.base import AccountName, RackName, Resources, WorkerId, ZoneName
from chiveworks.dispatch import WorkerInfo
from chiveworks.intake import IntakeLimits, QueueCatalogue, QueueRoute
from chiveworks.platform._address import check_address
from chiveworks.platform._fields import Fields, check_number, check_text, parse_json
from chiveworks.workflow import (
    MAX_STRETCH,
    STEP_LIMIT,
    JobSpec,
    QueuePolicy,
    Recurrence,
    StepSpec,
)

#: Names of entries under the operators' prefix in the metadata store.
CONFIG_NAME: Final = 'config'
EVACUATION_PREFIX: Final = 'evacuate/'

_MEBIBYTE: Final = 1024 * 1024
_EPOCH: Final = datetime(1970, 1, 1, tzinfo=timezone.utc)
_DEFAULTS: Final = IntakeLimits()
_NO_TIME: Final = timedelta()
_DEFAULT_TIMEOUT: Final = timedelta(seconds=3)
#: The platform's keys have at most 200 bytes.
_WORKER_ID: Final = re.compile('[!-~]{1,200}')
_WORKER_STATES: Final = frozenset(('ready', 'draining'))


def decode_operator_entry(name: str, content: bytes) -> QueueCatalogue | str:
    """Decodes an operator entry.

    Returns:
        The catalogue if the entry is the configuration, and the entry's name for any
        other operator request.

    Raises:
        ValueError: The configuration is malformed.
    """
    if name != CONFIG_NAME:
        return name
    return _decode_catalogue(Fields(parse_json(content)))


def decode_worker(name: str, content: bytes) -> WorkerInfo:
    """Decodes a worker's entry.

    Raises:
        ValueError: The entry names no worker that could be used.
    """
    # The id is sent in a header with each call.
    if not _WORKER_ID.fullmatch(name):
        raise ValueError('the id of the worker is not one word of printable ASCII')
    return _decode_worker(WorkerId(name), Fields(parse_json(content)))


def decode_job(body: bytes) -> JobSpec:
    """Decodes a job submitted by a client.

    Raises:
        ValueError: The body is not a valid job.
    """
    return _decode_job(Fields(parse_json(body)))


def _decode_catalogue(fields: Fields) -> QueueCatalogue:
    limits = Fields(fields.get('limits') or {})
    return QueueCatalogue.build(
        fields.whole('version'),
        [_decode_route(Fields(route)) for route in fields.rows('routes')],
        {
            service.text('name'): bool(service.get('enforces_capacity'))
            for service in map(Fields, fields.rows('services'))
        },
        IntakeLimits(
            limits.whole('max_body_bytes', _DEFAULTS.body_bytes),
            limits.whole('max_header_bytes', _DEFAULTS.header_bytes),
            limits.duration('header_timeout_ms', _DEFAULTS.header_timeout),
            limits.duration('idle_timeout_ms', _DEFAULTS.idle_timeout),
        ),
        _decode_accounts(fields),
    )


def _decode_accounts(fields: Fields) -> AccountDirectory | None:
    if fields.get('tenants') is None:
        return None
    accounts = [_decode_account(Fields(row)) for row in fields.rows('tenants')]
    return AccountDirectory(accounts)


def _decode_account(account: Fields) -> ClientAccount:
    keys = [check_text('api_keys', key) for key in account.rows('api_keys')]
    limit = account.get('max_count')
    return ClientAccount(
        AccountName(account.text('name')),
        frozenset(map(digest_key, keys)),
        account.number('weight', 1),
        Resources() if limit is None else _decode_resources(Fields(limit)),
    )


def _decode_route(route: Fields) -> QueueRoute:
    policy = QueuePolicy(
        route.text('name'),
        route.text('service'),
        route.whole('priority', 0),
        max(route.whole('max_attempts', 1), 1),
        route.number('stretch', 1.0, highest=MAX_STRETCH),
        route.duration('target_latency_ms', _NO_TIME),
        advised=bool(route.get('advice')),
    )
    timeout = route.duration('timeout_ms', _DEFAULT_TIMEOUT)
    return QueueRoute(
        route.text('host'), route.text('prefix'), policy, timeout, route.flag('public')
    )


def _decode_worker(worker_id: WorkerId, fields: Fields) -> WorkerInfo:
    state = fields.text('state')
    if state not in _WORKER_STATES:
        raise ValueError('state is unknown')
    labels = [check_text('labels', label) for label in fields.rows('labels')]
    return WorkerInfo(
        worker_id,
        fields.text('service'),
        check_address(fields.get('address')),
        ZoneName(fields.text('zone')),
        state == 'draining',
        _decode_resources(fields.nested('capacity')),
        frozenset(labels),
        # The first label is the kind of the worker, the second its rack.
        RackName(labels[1] if len(labels) > 1 else ''),
        fields.optional_duration('remaining_ms'),
        fields.optional_duration('clock_ms'),
        fields.whole('born', 0),
    )


def _decode_resources(fields: Fields) -> Resources:
    return Resources(
        fields.whole('cpu', 0),
        math.floor(fields.number('mem_mb', 0) * _MEBIBYTE),
        fields.whole('gpu', 0),
    )


def _decode_job(fields: Fields) -> JobSpec:
    rows = fields.rows('steps')
    if len(rows) > STEP_LIMIT:
        # A body of empty steps would become objects of a hundred times its size.
        raise ValueError(f'the job has more than {STEP_LIMIT} steps')
    spec = JobSpec(
        fields.text('spec', ''),
        tuple(_decode_step(Fields(step)) for step in rows),
        _decode_recurrence(fields),
    )
    validation_error = spec.validation_error()
    if validation_error:
        raise ValueError(validation_error)
    return spec


def _decode_recurrence(fields: Fields) -> Recurrence | None:
    count = fields.whole('repeat_count', 0)
    if not count:
        return None
    first = _EPOCH + fields.duration('first_ms', _NO_TIME)
    return Recurrence(count, first, fields.duration('interval_ms', _NO_TIME))


def _decode_step(step: Fields) -> StepSpec:
    return StepSpec(
        step.whole('count', 0),
        _decode_resources(step),
        step.duration('estimate_ms', _NO_TIME),
        tuple(math.floor(check_number('after', row)) for row in step.rows('after')),
        bool(step.get('checkpointed')),
        bool(step.get('gang')),
        bool(step.get('tightly_coupled')),
        step.text('requires', ''),
        RackName(step.text('data_rack', '')),
        step.whole('anti_affinity', 0),
        bool(step.get('speculative')),
        bool(step.get('long_running')),
        step.text('image', ''),
        step.duration('target_ms', _NO_TIME),
        bool(step.get('fills')),
        step.whole('may_miss', 0),
    )
