"""Creation of override records from workers' reports."""

from datetime import datetime
from types import MappingProxyType

from chiveworks.base import EntryName, Resources, WorkerId
from chiveworks.jobs import JobRecord, OverrideRecord, TaskRecord
from chiveworks.membership import OverrideKind
from chiveworks.workers import TaskReport


def override_id_of(kind: OverrideKind, report: TaskReport) -> str:
    """Returns the id of an override, the same in every report that shows it."""
    return f'{kind.value}:{report.task_id}:{report.attempt}'.replace('/', '-')


def create_override_record(
    kind: OverrideKind,
    worker: WorkerId,
    report: TaskReport,
    job: JobRecord | None,
    since: datetime,
) -> OverrideRecord:
    """Returns the record of a manual override.

    Args:
        kind: Kind of the override.
        worker: Worker that reported the task.
        report: The worker's report on the task.
        job: Job of the task; None if the task belongs to no job of this zone.
        since: Time at which the override was first detected, in UTC.
    """
    detail = _DETAILS[kind].format(worker=worker, allotted=_describe(report.allotted))
    return OverrideRecord(
        override_id=override_id_of(kind, report),
        kind=kind,
        worker=worker,
        task_id=report.task_id,
        attempt=report.attempt,
        entry=job.spec.entry if job else EntryName(''),
        owner=job.spec.owner if job else '',
        since=since,
        # Operators name a job by its key; the task id contains only a digest of it.
        detail=f'{detail}; job {job.key}' if job else detail,
        allotted=report.allotted,
    )


def is_resized(task: TaskRecord, report: TaskReport) -> bool:
    """Returns whether the task's allotment differs from its reservation in the table."""
    return report.allotted != task.reserved


def _describe(resources: Resources) -> str:
    return (
        f'cpu_millicores={resources.cpu_millicores}, '
        f'memory_bytes={resources.memory_bytes}, '
        f'accelerators={resources.accelerators}'
    )


_DETAILS = MappingProxyType(
    {
        OverrideKind.STOPPED: 'stopped by hand on {worker}',
        OverrideKind.MOVED: 'runs on {worker}, where nobody claimed it',
        OverrideKind.RESIZED: 'holds {allotted} on {worker}',
        OverrideKind.UNCLAIMED: 'runs on {worker} and belongs to no job of this zone',
    }
)
