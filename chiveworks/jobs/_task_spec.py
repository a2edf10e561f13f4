"""What all tasks of a job have in common."""

from dataclasses import dataclass

from chiveworks.base import EntryName, Resources


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """Properties taken from the catalogue entry when the job was accepted.

    Attributes:
        entry: Catalogue entry.
        owner: Who answers for it.
        kind: Program to run.
        resources: What one task needs.
        idempotent: Whether a task may run again after an unknown outcome.
        can_checkpoint: Whether a task can resume from a recorded checkpoint;
            what it did after that checkpoint then has no effect.
        retry_limit: Retries of an idempotent task that reported a failure.
        urgent: Whether it goes before normal work.
        deadline_ms: Time allowed from acceptance to the end, 0 for none.
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
        """Whether a further attempt may follow one that was cut short."""
        return self.idempotent or self.can_checkpoint
