"""MessagePack encoding of submissions and of their progress in the store."""

from datetime import datetime, timedelta, timezone
from typing import Any, Final

import msgpack

from chiveworks.base import AccountName, JobId, RackName, Resources
from chiveworks.workflow._job import Job, JobState
from chiveworks.workflow._job_owner import JobOwner
from chiveworks.workflow._job_spec import JobSpec, Submission
from chiveworks.workflow._queue_policy import QueuePolicy, check_stretch
from chiveworks.workflow._record_checks import (
    FLAG,
    INTEGER,
    LIST,
    REAL,
    TEXT,
    check_row,
    check_whole,
)
from chiveworks.workflow._recurrence import Recurrence
from chiveworks.workflow._step_spec import StepSpec
from chiveworks.workflow._task import TaskState
from chiveworks.workflow._task_rows import TASK_KEY_TYPES, pack_task, unpack_task
from chiveworks.workflow._tombstone import Tombstone

_MILLISECOND: Final = timedelta(milliseconds=1)
# Raised by MessagePack, and by decoders if a record has an unexpected structure.
_DECODE_ERRORS: Final = (
    TypeError,
    LookupError,
    AttributeError,
    ValueError,
    OverflowError,
    msgpack.UnpackException,
)
_QUEUE_TYPES: Final = (TEXT, TEXT, INTEGER, INTEGER, REAL, INTEGER, FLAG)
_STEP_TYPES: Final = (
    *(INTEGER, INTEGER, INTEGER, INTEGER, INTEGER),
    *(LIST, FLAG, FLAG, FLAG, TEXT, TEXT, INTEGER, FLAG, FLAG, TEXT),
    *(REAL, FLAG, INTEGER),
)
_NO_OWNER: Final = JobOwner()
_EPOCH: Final = datetime(1970, 1, 1, tzinfo=timezone.utc)


def encode_submission(submission: Submission) -> bytes:
    """Encodes an accepted job for the store."""
    spec, queue = submission.spec, submission.queue
    recurrence = spec.recurrence
    packed: bytes = msgpack.packb(
        {
            'queue': (
                queue.name,
                queue.service,
                queue.priority,
                queue.attempt_limit,
                queue.stretch,
                queue.latency_objective // _MILLISECOND,
                queue.advised,
            ),
            'payload': spec.payload,
            'steps': [_pack_step(step) for step in spec.steps],
            'recurrence': recurrence
            and (
                recurrence.count,
                (recurrence.first_due - _EPOCH) // _MILLISECOND,
                recurrence.interval // _MILLISECOND,
            ),
            'cancelled': submission.cancelled,
            'accepted': (submission.accepted_at - _EPOCH) // _MILLISECOND,
            **_pack_account(submission.account),
        }
    )
    return packed


def encode_final_state(state: JobState, owner: JobOwner = _NO_OWNER) -> bytes:
    """Encodes the terminal state of a job, which replaces its submission.

    The owner is kept only if it has an account.
    """
    fields = {'state': state.value, **_pack_account(owner.account)}
    if owner.account:
        fields['owner_queue'] = owner.queue
    packed: bytes = msgpack.packb(fields)
    return packed


def decode_final_owner(stored: bytes) -> JobOwner:
    """Returns the owner in a record that `decode_record` has decoded as a final state."""
    fields = msgpack.unpackb(stored)
    return JobOwner(_unpack_account(fields), fields.get('owner_queue', ''))


def encode_tombstone(tombstone: Tombstone) -> bytes:
    """Encodes the record of a job that was cancelled or refused before it was stored."""
    packed: bytes = msgpack.packb({'tombstone': tombstone.cancelled})
    return packed


def decode_record(job_id: JobId, stored: bytes) -> Submission | JobState | Tombstone:
    """Decodes the record of a job.

    Returns:
        The submission, or the terminal state if the job has ended, or the tombstone of
        a job that was not stored.

    Raises:
        ValueError: The bytes are not a job record.
    """
    try:
        fields = msgpack.unpackb(stored)
        if 'state' in fields:
            return _unpack_final_state(fields)
        if 'tombstone' in fields:
            return Tombstone(*check_row('tombstone', [fields['tombstone']], (FLAG,)))
        return _unpack_submission(job_id, fields)
    except _DECODE_ERRORS as error:
        raise ValueError(
            f'the record of job {job_id} cannot be read: {error!r}'
        ) from error


def encode_counts(counts: dict[str, int], counted_at: datetime) -> bytes:
    """Encodes the numbers of pending jobs, by queue, and when they were counted."""
    packed: bytes = msgpack.packb([counts, (counted_at - _EPOCH) // _MILLISECOND])
    return packed


def decode_counts(stored: bytes) -> tuple[dict[str, int], datetime]:
    """Returns the numbers of pending jobs, by queue, and when they were counted.

    Raises:
        ValueError: The bytes are not such numbers.
    """
    try:
        return _unpack_counts(msgpack.unpackb(stored))
    except _DECODE_ERRORS as error:
        message = f'the numbers of pending jobs cannot be read: {error!r}'
        raise ValueError(message) from error


def encode_progress(job: Job) -> bytes:
    """Encodes the progress of a job: one row for each task that was ever claimed."""
    rows = [
        pack_task(task)
        for task in job.tasks()
        if task.attempt or task.state is TaskState.DONE
    ]
    packed: bytes = msgpack.packb(
        {
            'next': job.next_occurrence,
            'open': list(job.occurrences),
            'tasks': rows,
            'failed': job.state is JobState.FAILED,
            'started': job.started,
        }
    )
    return packed


def restore_progress(job: Job, stored: bytes) -> None:
    """Applies stored progress to a job newly created from its submission.

    Raises:
        ValueError: The bytes are not progress of this job.
    """
    try:
        _apply_progress(job, msgpack.unpackb(stored))
    except _DECODE_ERRORS as error:
        raise ValueError(
            f'the progress of job {job.job_id} cannot be read: {error!r}'
        ) from error


def _apply_progress(job: Job, fields: dict[str, Any]) -> None:
    following = check_whole('next', fields['next'], job.occurrence_count + 1)
    for number in fields['open']:
        job.open_occurrence(check_whole('open', number, following))
    job.next_occurrence = following
    for row in check_row('tasks', fields['tasks'], ()):
        occurrence, step, position, state = check_row('task', row, TASK_KEY_TYPES)[:4]
        unpack_task(job.occurrences[occurrence][step].tasks[position], row, state)
    for number, runs in job.occurrences.items():
        for run in runs:
            run.done_count = sum(task.state is TaskState.DONE for task in run.tasks)
        job.refresh_ready(number)
    if fields['failed']:
        job.state = JobState.FAILED
    # Processes of an earlier version do not store whether a task has begun.
    started = fields.get('started', bool(fields['tasks']))
    job.started = check_row('started', [started], (FLAG,))[0]


def _pack_step(step: StepSpec) -> list[Any]:
    return [
        step.count,
        step.demand.cpu_millicores,
        step.demand.memory_bytes,
        step.demand.accelerators,
        step.estimate // _MILLISECOND,
        step.after,
        step.checkpointed,
        step.gang,
        step.tightly_coupled,
        step.required_label,
        step.data_rack,
        step.worker_limit,
        step.speculative,
        step.long_running,
        step.image,
        step.latency_target / _MILLISECOND,
        step.fills,
        step.unavailable_limit,
    ]


def _unpack_counts(row: object) -> tuple[dict[str, int], datetime]:
    counts, counted_ms = check_row('counts', row, ((dict,), INTEGER))
    for count in counts.values():
        check_whole('count', count)
    return counts, _EPOCH + counted_ms * _MILLISECOND


def _unpack_final_state(fields: dict[str, Any]) -> JobState:
    state = JobState(fields['state'])
    check_row(
        'owner',
        [fields.get('account', ''), fields.get('owner_queue', '')],
        (TEXT, TEXT),
    )
    if not state.terminal:
        raise ValueError('the state is not a final one')
    return state


def _unpack_step(row: list[Any]) -> StepSpec:
    check_row('step', row, _STEP_TYPES)
    return StepSpec(
        count=row[0],
        demand=Resources(row[1], row[2], row[3]),
        estimate=row[4] * _MILLISECOND,
        after=tuple(row[5]),
        checkpointed=row[6],
        gang=row[7],
        tightly_coupled=row[8],
        required_label=row[9],
        data_rack=RackName(row[10]),
        worker_limit=row[11],
        speculative=row[12],
        long_running=row[13],
        image=row[14],
        latency_target=row[15] * _MILLISECOND,
        fills=row[16],
        unavailable_limit=row[17],
    )


def _unpack_submission(job_id: JobId, fields: dict[str, Any]) -> Submission:
    queue = check_row('queue', fields['queue'], _QUEUE_TYPES)
    check_row('record', [fields['payload'], fields['cancelled']], (TEXT, FLAG))
    spec = JobSpec(
        fields['payload'],
        tuple(_unpack_step(row) for row in fields['steps']),
        _unpack_recurrence(fields['recurrence']),
    )
    validation_error = spec.validation_error()
    if validation_error:
        raise ValueError(validation_error)
    return Submission(
        job_id,
        QueuePolicy(
            name=queue[0],
            service=queue[1],
            priority=queue[2],
            attempt_limit=queue[3],
            stretch=check_stretch(queue[4]),
            latency_objective=queue[5] * _MILLISECOND,
            advised=queue[6],
        ),
        spec,
        fields['cancelled'],
        _EPOCH + check_whole('accepted', fields['accepted']) * _MILLISECOND,
        _unpack_account(fields),
    )


def _pack_account(account: AccountName) -> dict[str, str]:
    # Without it, the record is that of earlier versions, which ignore unknown fields.
    return {'account': account} if account else {}


def _unpack_account(fields: dict[str, Any]) -> AccountName:
    row = check_row('account', [fields.get('account', '')], (TEXT,))
    return AccountName(row[0])


def _unpack_recurrence(row: object) -> Recurrence | None:
    if row is None:
        return None
    count, first_ms, interval_ms = check_row('recurrence', row, (INTEGER,) * 3)
    return Recurrence(
        count, _EPOCH + first_ms * _MILLISECOND, interval_ms * _MILLISECOND
    )
