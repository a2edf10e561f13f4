"""A manual override as shown to operators."""

from dataclasses import dataclass
from datetime import datetime

from chiveworks.base import EntryName, TaskId, WorkerId, ZoneName
from chiveworks.membership._override_kind import OverrideKind


@dataclass(frozen=True, slots=True)
class OverrideView:
    """Something that was changed on the platform by hand.

    Attributes:
        override_id: Id for `adopt` and `revert`.
        kind: What was changed.
        zone: Zone of the worker.
        worker: Worker on which it was noticed.
        task_id: The task concerned.
        entry: Catalogue entry concerned; empty when none is known.
        owner: Owner of that entry.
        since: When it was noticed, in UTC.
        detail: What differs, in one sentence.
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
