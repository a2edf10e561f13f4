"""Tables of jobs."""

from typing import Any

from chiveworks.cli._printer import Printer

_JOB = ('tenant', 'key', 'state', 'home', 'generation', 'reason', 'job_id')
_TASK = ('task_id', 'state', 'attempt', 'worker', 'result')


def show_jobs(printer: Printer, jobs: list[dict[str, Any]]) -> None:
    """Shows a line for each job."""
    printer.table(_JOB, ([job.get(column) for column in _JOB] for job in jobs))


def show_job(printer: Printer, job: dict[str, Any]) -> None:
    """Shows a job and its tasks."""
    show_jobs(printer, [job])
    tasks = job.get('tasks') or []
    printer.line('')
    printer.table(_TASK, ([task.get(column) for column in _TASK] for task in tasks))
