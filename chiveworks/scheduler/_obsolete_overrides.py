"""Overrides that no longer apply."""

from chiveworks.jobs import OverrideRecord, TaskTable
from chiveworks.membership import OverrideKind, TaskState


def obsolete_overrides(table: TaskTable) -> tuple[str, ...]:
    """Returns the ids of open overrides that no longer apply.

    Their task has ended, was cancelled, or now belongs to a job of this shard. They
    are not found through workers' reports, because a task can also end without one.
    """
    return tuple(
        override_id
        for override_id, override in table.overrides.items()
        if _is_obsolete(table, override)
    )


def _is_obsolete(table: TaskTable, override: OverrideRecord) -> bool:
    task = table.tasks.get(override.task_id)
    if override.kind is OverrideKind.UNCLAIMED:
        return task is not None
    if task is None or task.attempt != override.attempt:
        return True
    if override.kind is OverrideKind.STOPPED:
        return task.state is not TaskState.HELD
    return not task.is_active
