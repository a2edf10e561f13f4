"""Properties shared by all tasks of a job."""

from dataclasses import dataclass

from chiveworks.base import EntryName, Resources


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """Properties copied from the catalogue entry when the job was accepted.

    Attributes:
        entry: Name of the catalogue entry.
        owner: Owner responsible for the entry.
        kind: Program to run.
        resources: Resources that one task needs.
        idempotent: Whether a task may be rerun after an unknown outcome.
        can_checkpoint: Whether a task can resume from a recorded checkpoint; work
            done after that checkpoint then has no effect.
        retry_limit: Maximum number of retries after an idempotent task failed.
        urgent: Whether it is scheduled before normal work.
        deadline_ms: Time limit from acceptance to completion; 0 for none.
    """

    entry: EntryName
    owner: str
    kind: str
    resources: Resources
    idempotent: bool = True
    can_checkpoint: bool = False
    retry_limit: int = 2
    urgent: bool = False
    deadline_ms: int = 0

    @property
    def resumable(self) -> bool:
        """Whether an interrupted attempt may be followed by another one."""
        return self.idempotent or self.can_checkpoint
