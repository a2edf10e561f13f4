"""A manual override as it is journalled."""

from dataclasses import dataclass
from datetime import datetime

from chiveworks.base import Attempt, EntryName, Resources, TaskId, WorkerId, ZoneName
from chiveworks.membership import OverrideKind, OverrideView


@dataclass(frozen=True, slots=True)
class OverrideRecord:
    """Something that was changed on the platform by hand.

    Attributes:
        override_id: Id for operators.
        kind: What was changed.
        worker: Worker on which it was noticed.
        task_id: The task concerned.
        attempt: The attempt concerned.
        entry: Catalogue entry concerned; empty when none is known.
        owner: Owner of that entry.
        since: When it was noticed, in UTC.
        detail: What differs, in one sentence.
        allotted: Resources that the worker holds for the task.
    """

    override_id: str
    kind: OverrideKind
    worker: WorkerId
    task_id: TaskId
    attempt: Attempt
    entry: EntryName
    owner: str
    since: datetime
    detail: str
    allotted: Resources

    def view(self, zone: ZoneName) -> OverrideView:
        """Returns the override as shown to operators."""
        return OverrideView(
            self.override_id,
            self.kind,
            zone,
            self.worker,
            self.task_id,
            self.entry,
            self.owner,
            self.since,
            self.detail,
        )
