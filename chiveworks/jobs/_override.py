"""A manual override, as written to the journal."""

from dataclasses import dataclass
from datetime import datetime

from chiveworks.base import Attempt, EntryName, Resources, TaskId, WorkerId, ZoneName
from chiveworks.membership import OverrideKind, OverrideView


@dataclass(frozen=True, slots=True)
class OverrideRecord:
    """A change that an operator made directly on the platform.

    Attributes:
        override_id: Id by which operators refer to it.
        kind: What was changed.
        worker: Worker on which it was detected.
        task_id: Affected task.
        attempt: Affected attempt.
        entry: Catalogue entry of the task; empty when unknown.
        owner: Owner of that entry.
        since: When it was detected, in UTC.
        detail: Description of the difference, in one sentence.
        allotted: Resources that the worker has allocated to the task.
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
