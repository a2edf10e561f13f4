"""Decodes the reports of workers and the names of tasks in them."""

from functools import lru_cache
from types import MappingProxyType
from typing import Final

from chiveworks.base import JobId
from chiveworks.dispatch import EndKind, EndRow, RunRow, WorkerReport
from chiveworks.platform._fields import (
    MAX_NUMBER,
    MAX_TEXT_LENGTH,
    Fields,
    check_list,
    check_text,
    check_whole,
)
from chiveworks.workflow import TaskRef

# Decoded names are cached, since every report repeats those of the running tasks.
_NAME_CACHE_SIZE: Final = 20_000
_RUN_FIELDS: Final = 4
_RUN_TYPES: Final = (str, int, str, int, int)
_END_FIELDS: Final = 5
_END_KINDS: Final = MappingProxyType(
    {
        'done': EndKind.DONE,
        'failed': EndKind.FAILED,
        'stopped': EndKind.STOPPED,
        'lapsed': EndKind.LAPSED,
        'broken': EndKind.GANG_BROKEN,
        'alone': EndKind.GANG_ALONE,
    }
)


def encode_ref(ref: TaskRef) -> str:
    """Returns the task's name on the platform."""
    return f'{ref.job_id}.{ref.occurrence}.{ref.step}.{ref.position}'


@lru_cache(_NAME_CACHE_SIZE)
def decode_ref(name: str) -> TaskRef:
    """Returns the task with the given name on the platform.

    Raises:
        ValueError: The name is not a task name.
    """
    job_id, *numbers = name.split('.')
    if not all(number.isascii() and number.isdecimal() for number in numbers):
        raise ValueError('a task has an odd name')
    occurrence, step, position = map(int, numbers)
    return TaskRef(JobId(job_id), occurrence, step, position)


def decode_report(body: object) -> WorkerReport:
    """Decodes a worker's report about its runs.

    Raises:
        ValueError: The body is not a report.
    """
    fields = Fields(body)
    return WorkerReport(
        fields.duration('clock_ms'),
        fields.whole('born', 0),
        [_decode_run(row) for row in fields.required_rows('running')],
        [_decode_end(row) for row in fields.required_rows('finished')],
    )


def _decode_run(row: object) -> RunRow:
    # Nearly all rows are plain; the others are decoded field by field.
    if isinstance(row, list) and tuple(map(type, row)) == _RUN_TYPES:
        name, attempt, checkpoint, percent, measured = row
        if _is_plain(name, checkpoint) and _is_small(attempt, percent, measured):
            return RunRow(decode_ref(name), attempt, checkpoint, percent, measured)
    return _decode_odd_run(row)


def _is_plain(name: str, checkpoint: str) -> bool:
    text = name + checkpoint
    return text.isascii() and len(text) <= MAX_TEXT_LENGTH


def _is_small(*numbers: int) -> bool:
    return min(numbers) >= 0 and max(numbers) <= MAX_NUMBER


def _decode_odd_run(row: object) -> RunRow:
    columns = check_list('running', row, _RUN_FIELDS)
    measured = columns[_RUN_FIELDS] if len(columns) > _RUN_FIELDS else 0
    return RunRow(
        decode_ref(check_text('task', columns[0])),
        check_whole('run', columns[1]),
        check_text('saved', columns[2]),
        check_whole('percent', columns[3]),
        check_whole('measured', measured or 0),
    )


def _decode_end(row: object) -> EndRow:
    columns = check_list('finished', row, _END_FIELDS)
    return EndRow(
        check_whole('number', columns[0]),
        decode_ref(check_text('task', columns[1])),
        check_whole('run', columns[2]),
        _END_KINDS.get(check_text('how', columns[3]), EndKind.STOPPED),
        check_text('saved', columns[4]),
    )
