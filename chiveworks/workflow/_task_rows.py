"""Rows of tasks in the stored progress of a job."""

from typing import Any, Final

from chiveworks.base import WorkerId
from chiveworks.workflow._lapsed_run import LapsedRun
from chiveworks.workflow._record_checks import (
    INTEGER,
    TEXT,
    check_row,
    check_whole,
)
from chiveworks.workflow._task import Task, TaskState

TASK_KEY_TYPES: Final = (INTEGER, INTEGER, INTEGER, INTEGER)
_RUN_TYPES: Final = (*TASK_KEY_TYPES, INTEGER, INTEGER, TEXT, TEXT)
_LAPSED_TYPES: Final = (TEXT, TEXT, INTEGER, INTEGER)


def pack_task(task: Task) -> tuple[Any, ...]:
    """Returns the row of a task that was ever claimed."""
    key = (*task.ref[1:], task.state.value)
    if task.state is TaskState.DONE and not task.lingers:
        return key
    counts = (task.attempt, task.failures)
    run = (task.worker or '', task.checkpoint, task.crashes, task.worker_born_ms)
    lapsed = task.lapsed
    return (
        *(*key, *counts, *run),
        task.worker_address if task.worker else '',
        lapsed and (lapsed.worker, lapsed.address, lapsed.born_ms, lapsed.attempt),
    )


def unpack_task(task: Task, row: list[Any], state: int) -> None:
    """Applies a row, whose first numbers have been checked, to a task.

    Raises:
        ValueError: The row is not that of a task.
    """
    task.state = TaskState(state)
    if task.state is TaskState.DONE and len(row) == len(TASK_KEY_TYPES):
        return
    check_row('run', row, _RUN_TYPES)
    task.attempt = row[4]
    task.failures = row[5]
    task.worker = WorkerId(row[6]) if row[6] else None
    task.checkpoint = row[7]
    # Processes of an earlier version do not store these.
    task.crashes = check_whole('crashes', row[8]) if len(row) > 8 else 0
    task.worker_born_ms = check_whole('born', row[9]) if len(row) > 9 else 0
    task.worker_address = _unpack_address(row)
    task.lapsed = _unpack_lapsed_run(row[11]) if len(row) > 11 else None
    # The previous leader may have sent the start at any time after the claim.
    task.sent = task.active


def _unpack_address(row: list[Any]) -> str:
    return str(check_row('address', row[10:11], (TEXT,))[0]) if len(row) > 10 else ''


def _unpack_lapsed_run(row: object) -> LapsedRun | None:
    if row is None:
        return None
    worker, address, born_ms, attempt = check_row('lapsed', row, _LAPSED_TYPES)
    return LapsedRun(WorkerId(worker), address, born_ms, attempt)
