"""Maps the end of an attempt to a task state (table in docs/design.md, section 3)."""

import json

from chiveworks.base import TaskId
from chiveworks.jobs import JobRecord, TaskEnded, TaskRecord
from chiveworks.membership import TaskState
from chiveworks.workers import ReportedState, StopCause, TaskReport

#: Maximum total size of the encoded results of a job. Results and payloads together
#: must fit into one store value (1 MB), because the journal and the job record keep
#: them in the same value.
MAX_RESULT_BYTES_PER_JOB = 500_000


def never_started(job: JobRecord, task: TaskRecord) -> TaskEnded:
    """Returns the end of an attempt that is known not to have started."""
    state = TaskState.CANCELLED if job.cancelled else TaskState.QUEUED
    return _end(task, state, checkpoint=task.checkpoint)


def lost(job: JobRecord, task: TaskRecord, reason: str) -> TaskEnded:
    """Returns the end of an attempt that its worker can no longer be running."""
    if not job.spec.resumable:
        return _end(task, TaskState.OUTCOME_UNKNOWN, reason=reason)
    state = TaskState.CANCELLED if job.cancelled else TaskState.QUEUED
    return _end(task, state, checkpoint=task.checkpoint, reason=reason)


def reported(job: JobRecord, task: TaskRecord, report: TaskReport) -> TaskEnded:
    """Returns the end of an attempt according to the worker's report."""
    if report.state is ReportedState.FINISHED:
        return _finished(job, task, report)
    if report.state is ReportedState.FAILED:
        return _failed(job, task, report)
    return _stopped(job, task, report)


def _finished(job: JobRecord, task: TaskRecord, report: TaskReport) -> TaskEnded:
    limit_bytes = MAX_RESULT_BYTES_PER_JOB // len(job.tasks)
    size_bytes = len(json.dumps(report.result))
    if size_bytes > limit_bytes:
        reason = f'the result has {size_bytes} bytes, at most {limit_bytes} fit'
        return _end(task, TaskState.FAILED, reason=reason)
    return _end(task, TaskState.FINISHED, result=report.result)


def _failed(job: JobRecord, task: TaskRecord, report: TaskReport) -> TaskEnded:
    failures = task.failures + 1
    retry = job.spec.idempotent and failures <= job.spec.retry_limit
    state = TaskState.FAILED
    if retry:
        state = TaskState.CANCELLED if job.cancelled else TaskState.QUEUED
    reason = report.result or 'the task failed'
    return _end(
        task, state, checkpoint=task.checkpoint, failures=failures, reason=reason
    )


def _stopped(job: JobRecord, task: TaskRecord, report: TaskReport) -> TaskEnded:
    checkpoint = report.checkpoint or task.checkpoint
    if job.cancelled:
        return _end(task, TaskState.CANCELLED, checkpoint=checkpoint)
    if report.cause is StopCause.MANUAL:
        return _end(
            task, TaskState.HELD, checkpoint=checkpoint, reason='stopped by hand'
        )
    if job.spec.resumable:
        return _end(task, TaskState.QUEUED, checkpoint=checkpoint)
    return _end(
        task,
        TaskState.OUTCOME_UNKNOWN,
        reason=f'stopped ({report.cause.value or "no cause given"}) before its end',
    )


def _end(
    task: TaskRecord,
    state: TaskState,
    *,
    result: str = '',
    checkpoint: str = '',
    failures: int | None = None,
    reason: str = '',
) -> TaskEnded:
    return TaskEnded(
        TaskId(task.task_id),
        task.attempt,
        state,
        result,
        checkpoint,
        task.failures if failures is None else failures,
        reason,
    )
