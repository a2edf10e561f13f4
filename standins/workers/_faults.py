"""Faults of a worker that tests can inject."""

from dataclasses import dataclass, fields


@dataclass(slots=True)
class WorkerFaults:
    """Faults of the worker's HTTP interface.

    Attributes:
        drop_start_answers: Number of starts whose responses are lost.
        serve_delay_ms: Time added to the duration of every request.
        silent: Whether the connections that were open when the fault was set no
            longer get responses.
        leaving: Whether new requests are refused with a header that announces that
            the worker is leaving.
    """

    drop_start_answers: int = 0
    serve_delay_ms: float = 0
    silent: bool = False
    leaving: bool = False

    def update(self, changes: dict[str, object]) -> None:
        """Sets the given fields; unknown names are ignored."""
        names = {field.name for field in fields(self)}
        for name in names & changes.keys():
            setattr(self, name, changes[name])

    def should_drop_start_response(self) -> bool:
        """Decides whether the response to the current start is lost."""
        if self.drop_start_answers <= 0:
            return False
        self.drop_start_answers -= 1
        return True
