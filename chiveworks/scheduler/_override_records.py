"""Records of manual overrides found in reports."""

from datetime import datetime
from types import MappingProxyType

from chiveworks.base import EntryName, Resources, WorkerId
from chiveworks.jobs import OverrideRecord, TaskRecord, TaskSpec
from chiveworks.membership import OverrideKind
from chiveworks.workers import TaskReport


def override_id_of(kind: OverrideKind, report: TaskReport) -> str:
    """Returns the same id each time the same override is noticed."""
    return f'{kind.value}:{report.task_id}:{report.attempt}'.replace('/', '-')


def note_override(
    kind: OverrideKind,
    worker: WorkerId,
    report: TaskReport,
    spec: TaskSpec | None,
    since: datetime,
) -> OverrideRecord:
    """Returns the record of an override.

    Args:
        kind: What was changed.
        worker: Worker that reported it.
        report: The report.
        spec: Properties of the task; None when nobody claimed it.
        since: Time at which it was first noticed, in UTC.
    """
    return OverrideRecord(
        override_id=override_id_of(kind, report),
        kind=kind,
        worker=worker,
        task_id=report.task_id,
        attempt=report.attempt,
        entry=spec.entry if spec else EntryName(''),
        owner=spec.owner if spec else '',
        since=since,
        detail=_DETAILS[kind].format(
            worker=worker, allotted=_describe(report.allotted)
        ),
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
