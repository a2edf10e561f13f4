"""Log of a worker's attempts, in which tests look for violations."""

from dataclasses import asdict, dataclass, field

from chiveworks.base import Resources
from standins.workers._task_run import TaskRun


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Start or end of an attempt.

    Attributes:
        event: `start` or `end`.
        task_id: Id of the task.
        attempt: Number of the attempt.
        kind: Kind of the task.
        at_ms: Monotonic clock of the host, comparable between processes.
        epoch: Epoch of the start command; 0 for a manual start and for an end.
        state: State of the attempt after the event.
        cause: Why it was stopped; `restart` for a restart of the worker.
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
    """All starts and ends, and the current and peak committed resources."""

    capacity: Resources
    events: list[LogEvent] = field(default_factory=list)
    committed: Resources = Resources()
    greatest: Resources = Resources()

    def record_start(self, run: TaskRun, at_ms: int, epoch: int = 0) -> None:
        """Records the start of an attempt."""
        self._append_event('start', run, at_ms, epoch=epoch)
        self.commit(run.allotted)

    def record_end(self, run: TaskRun, at_ms: int, cause: str = '') -> None:
        """Records the end of an attempt."""
        self._append_event('end', run, at_ms, cause=cause or run.cause.value)
        self.committed -= run.allotted

    def commit(self, added: Resources) -> None:
        """Adds to the committed resources, for a start or a resize."""
        self.committed += added
        self.greatest = self.greatest.maximum(self.committed)

    def to_json(self) -> dict[str, object]:
        """Returns the log as a JSON object."""
        return asdict(self)

    def _append_event(
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
