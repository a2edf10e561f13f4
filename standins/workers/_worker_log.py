"""What happened on a worker, for tests that look for violations."""

from dataclasses import asdict, dataclass, field

from chiveworks.base import Resources
from standins.workers._task_run import TaskRun


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Start or end of an attempt.

    Attributes:
        event: `start` or `end`.
        task_id: The task.
        attempt: Number of its run.
        kind: Kind of the task.
        at_ms: Monotonic clock of the machine, comparable between processes.
        epoch: Epoch of the start order; 0 for a manual start.
        state: State after the event.
        cause: Why it was stopped; `restart` when the worker restarted.
    """

    event: str
    task_id: str
    attempt: int
    kind: str
    at_ms: int
    epoch: int
    state: str
    cause: str


@dataclass(slots=True)
class WorkerLog:
    """All starts and ends, and the greatest committed resources."""

    capacity: Resources
    events: list[LogEvent] = field(default_factory=list)
    committed: Resources = Resources()
    greatest: Resources = Resources()

    def started(self, run: TaskRun, at_ms: int, epoch: int = 0) -> None:
        """Records a start."""
        self._add('start', run, at_ms, epoch=epoch)
        self.commit(run.allotted)

    def ended(self, run: TaskRun, at_ms: int, cause: str = '') -> None:
        """Records an end."""
        self._add('end', run, at_ms, cause=cause or run.cause.value)
        self.committed -= run.allotted

    def commit(self, added: Resources) -> None:
        """Adds committed resources, for a start or a new size."""
        self.committed += added
        self.greatest = self.greatest.maximum(self.committed)

    def to_json(self) -> dict[str, object]:
        """Returns the log as a JSON object."""
        return asdict(self)

    def _add(
        self, event: str, run: TaskRun, at_ms: int, epoch: int = 0, cause: str = ''
    ) -> None:
        self.events.append(
            LogEvent(
                event,
                run.task_id,
                run.attempt,
                run.kind,
                at_ms,
                epoch,
                run.state.value,
                cause,
            )
        )
