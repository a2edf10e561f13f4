"""Records of manual overrides found in reports."""

from datetime import datetime
from types import MappingProxyType

from chiveworks.base import EntryName, Resources, WorkerId
from chiveworks.jobs import JobRecord, OverrideRecord, TaskRecord
from chiveworks.membership import OverrideKind
from chiveworks.workers import TaskReport


def override_id_of(kind: OverrideKind, report: TaskReport) -> str:
    """Returns the same id each time the same override is noticed."""
    return f'{kind.value}:{report.task_id}:{report.attempt}'.replace('/', '-')


def create_override_record(
    kind: OverrideKind,
    worker: WorkerId,
    report: TaskReport,
    job: JobRecord | None,
    since: datetime,
) -> OverrideRecord:
    """Returns the record of an override.

    Args:
        kind: What was changed.
        worker: Worker that reported it.
        report: The report.
        job: Job of the task; None when it belongs to none of this zone.
        since: Time at which it was first noticed, in UTC.
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
        # Commands name a job by its key; the task's id holds only a digest of it.
        detail=f'{detail}; job {job.key}' if job else detail,
        allotted=report.allotted,
    )


def is_resized(task: TaskRecord, report: TaskReport) -> bool:
    """Tells whether the worker holds other amounts than the table."""
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
