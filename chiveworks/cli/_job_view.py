"""Display of jobs and tasks as tables."""

from typing import Any

from chiveworks.cli._printer import Printer

_JOB_COLUMNS = ('tenant', 'key', 'state', 'home', 'generation', 'reason', 'job_id')
_TASK_COLUMNS = ('task_id', 'state', 'attempt', 'worker', 'result')


def show_jobs(printer: Printer, jobs: list[dict[str, Any]]) -> None:
    """Shows a table with one row per job."""
    printer.table(
        _JOB_COLUMNS, ([job.get(column) for column in _JOB_COLUMNS] for job in jobs)
    )


def show_job(printer: Printer, job: dict[str, Any]) -> None:
    """Shows a job and its tasks."""
    show_jobs(printer, [job])
    tasks = job.get('tasks') or []
    printer.line('')
    printer.table(
        _TASK_COLUMNS,
        ([task.get(column) for column in _TASK_COLUMNS] for task in tasks),
    )
