"""Manual override for operators."""

from dataclasses import dataclass
from datetime import datetime

from chiveworks.base import EntryName, TaskId, WorkerId, ZoneName
from chiveworks.membership._override_kind import OverrideKind


@dataclass(frozen=True, slots=True)
class OverrideView:
    """A change that somebody made manually on the platform.

    Attributes:
        override_id: Id that `adopt` and `revert` take.
        kind: Kind of the change.
        zone: Zone of the worker.
        worker: Worker on which the change was detected.
        task_id: Id of the affected task.
        entry: Affected catalogue entry; empty if unknown.
        owner: Owner of that entry.
        since: When the change was detected, in UTC.
        detail: Description of the difference in one sentence.
    """

    override_id: str
    kind: OverrideKind
    zone: ZoneName
    worker: WorkerId
    task_id: TaskId
    entry: EntryName
    owner: str
    since: datetime
    detail: str = ''
