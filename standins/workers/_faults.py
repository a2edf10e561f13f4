"""Faults of a worker that tests set."""

from dataclasses import dataclass, fields


@dataclass(slots=True)
class WorkerFaults:
    """Faults of the worker's HTTP interface.

    Attributes:
        drop_start_answers: Number of starts whose answers are lost.
        serve_delay_ms: Added to the time of every request.
        silent: Connections open at the moment of setting never answer again.
        leaving: Refuses new requests and announces that it is leaving.
    """

    drop_start_answers: int = 0
    serve_delay_ms: float = 0
    silent: bool = False
    leaving: bool = False

    def update(self, changes: dict[str, object]) -> None:
        """Sets the given fields; others are ignored."""
        names = {field.name for field in fields(self)}
        for name in names & changes.keys():
            setattr(self, name, changes[name])

    def take_start_drop(self) -> bool:
        """Decides whether the answer of the current start is lost."""
        if self.drop_start_answers <= 0:
            return False
        self.drop_start_answers -= 1
        return True
