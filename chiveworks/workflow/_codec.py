"""MessagePack encoding of submissions and of their progress in the store."""

from datetime import datetime, timedelta, timezone
from typing import Any, Final

import msgpack

from chiveworks.base import JobId, RackName, Resources, WorkerId
from chiveworks.workflow._job import Job, JobState
from chiveworks.workflow._job_spec import JobSpec, Submission
from chiveworks.workflow._queue_policy import QueuePolicy
from chiveworks.workflow._recurrence import Recurrence
from chiveworks.workflow._step_spec import StepSpec
from chiveworks.workflow._task import Task, TaskState

_MILLISECOND: Final = timedelta(milliseconds=1)
# Raised by MessagePack, and by decoders if a record has an unexpected structure.
_DECODE_ERRORS: Final = (
    TypeError,
    LookupError,
    AttributeError,
    ValueError,
    msgpack.UnpackException,
)
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
        }
    )
    return packed


def encode_final_state(state: JobState) -> bytes:
    """Encodes the terminal state of a job, which replaces its submission."""
    packed: bytes = msgpack.packb({'state': state.value})
    return packed


def decode_record(job_id: JobId, stored: bytes) -> Submission | JobState:
    """Decodes the record of a job.

    Returns:
        The submission, or the terminal state if the job has ended.

    Raises:
        ValueError: The bytes are not a job record.
    """
    try:
        fields = msgpack.unpackb(stored)
        if 'state' in fields:
            return JobState(fields['state'])
        return _unpack_submission(job_id, fields)
    except _DECODE_ERRORS as error:
        raise ValueError(f'the record of job {job_id} cannot be read') from error


def encode_counts(counts: dict[str, int], counted_at: datetime) -> bytes:
    """Encodes the numbers of pending jobs, by queue, and when they were counted."""
    packed: bytes = msgpack.packb([counts, (counted_at - _EPOCH) // _MILLISECOND])
    return packed


def decode_counts(stored: bytes) -> tuple[dict[str, int], datetime]:
    """Returns the numbers of pending jobs, by queue, and when they were counted."""
    counts, counted_ms = msgpack.unpackb(stored)
    return counts, _EPOCH + counted_ms * _MILLISECOND


def encode_progress(job: Job) -> bytes:
    """Encodes the progress of a job: one row for each task that was ever claimed."""
    rows = [
        _pack_task(task)
        for task in job.tasks()
        if task.attempt or task.state is TaskState.DONE
    ]
    packed: bytes = msgpack.packb(
        {
            'next': job.next_occurrence,
            'open': list(job.occurrences),
            'tasks': rows,
            'failed': job.state is JobState.FAILED,
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
        raise ValueError(f'the progress of job {job.job_id} cannot be read') from error


def _apply_progress(job: Job, fields: dict[str, Any]) -> None:
    for number in fields['open']:
        job.open_occurrence(number)
    job.next_occurrence = fields['next']
    for row in fields['tasks']:
        occurrence, step, position, state = row[:4]
        _unpack_task(job.occurrences[occurrence][step].tasks[position], row, state)
    for number, runs in job.occurrences.items():
        for run in runs:
            run.done_count = sum(task.state is TaskState.DONE for task in run.tasks)
        job.refresh_ready(number)
    if fields['failed']:
        job.state = JobState.FAILED
    job.started = bool(fields['tasks']) or job.next_occurrence > len(job.occurrences)


def _pack_task(task: Task) -> tuple[Any, ...]:
    key = (*task.ref[1:], task.state.value)
    if task.state is TaskState.DONE:
        return key
    counts = (task.attempt, task.failures)
    return (*key, *counts, task.worker or '', task.checkpoint, task.crashes)


def _unpack_task(task: Task, row: list[Any], state: int) -> None:
    task.state = TaskState(state)
    if task.state is TaskState.DONE:
        return
    task.attempt = row[4]
    task.failures = row[5]
    task.worker = WorkerId(row[6]) if row[6] else None
    task.checkpoint = row[7]
    # Processes of an earlier version do not store the number of crashes.
    task.crashes = row[8] if len(row) > 8 else 0
    # The previous leader may have sent the start at any time after the claim.
    task.sent = task.active


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


def _unpack_step(row: list[Any]) -> StepSpec:
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
    queue = fields['queue']
    recurrence = None
    if fields['recurrence']:
        count, first_ms, interval_ms = fields['recurrence']
        recurrence = Recurrence(
            count, _EPOCH + first_ms * _MILLISECOND, interval_ms * _MILLISECOND
        )
    return Submission(
        job_id,
        QueuePolicy(
            name=queue[0],
            service=queue[1],
            priority=queue[2],
            attempt_limit=queue[3],
            stretch=queue[4],
            latency_objective=queue[5] * _MILLISECOND,
            advised=queue[6],
        ),
        JobSpec(
            fields['payload'],
            tuple(_unpack_step(row) for row in fields['steps']),
            recurrence,
        ),
        fields['cancelled'],
        _EPOCH + fields['accepted'] * _MILLISECOND,
    )
