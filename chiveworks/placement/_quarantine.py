"""Workers put aside after failed starts."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import Clock, WorkerId

_FAILURES_IN_A_ROW = 3
_FIRST_PERIOD = timedelta(seconds=30)
_LONGEST_PERIOD = timedelta(minutes=10)
#: At most one in so many workers of a zone is put aside, since a fault of the
#: platform or of a job can look like a fault of every worker.
_WORKERS_PER_QUARANTINED = 3


@dataclass
class _Record:
    """A worker's failures; `until` is set while it is put aside."""

    failures: int = 0
    period: timedelta = _FIRST_PERIOD
    until: timedelta | None = None
    on_trial: bool = False


class Quarantine:
    """Tracks one zone's workers; a worker returns through one trial task.

    Args:
        clock: Source of monotonic time.
        fleet_size: Workers of the zone.
    """

    def __init__(self, clock: Clock, fleet_size: int) -> None:
        self.clock = clock
        self.fleet_size = fleet_size
        self._records: dict[WorkerId, _Record] = {}

    def resize(self, fleet_size: int) -> None:
        """Changes the number of workers of the zone.

        When it shrinks, those that were put aside longest return first.
        """
        self.fleet_size = fleet_size
        held = sorted(self._held(), key=lambda worker: self._end(worker))
        for worker_id in held[: max(len(held) - self.limit, 0)]:
            self._records.pop(worker_id)

    @property
    def limit(self) -> int:
        """Returns how many workers may be put aside at once."""
        return self.fleet_size // _WORKERS_PER_QUARANTINED

    def allows(self, worker_id: WorkerId) -> bool:
        """Tells whether the worker may be sent a task now."""
        record = self._records.get(worker_id)
        if record is None or record.until is None:
            return True
        return not record.on_trial and self.clock.monotonic() >= record.until

    def failed_starts(self, worker_id: WorkerId) -> int:
        """Returns the worker's failed starts in a row."""
        record = self._records.get(worker_id)
        return record.failures if record else 0

    def quarantined(self) -> tuple[WorkerId, ...]:
        """Returns the workers put aside, including those on trial."""
        return tuple(self._held())

    def note_sent(self, worker_id: WorkerId) -> None:
        """Records that a start was sent; after a quarantine it is the trial."""
        record = self._records.get(worker_id)
        if record is not None and record.until is not None:
            record.on_trial = True

    def note_started(self, worker_id: WorkerId) -> None:
        """Records a successful start, which clears the worker."""
        self._records.pop(worker_id, None)

    def note_not_run(self, worker_id: WorkerId) -> None:
        """Records that a start was not run for reasons other than the worker."""
        record = self._records.get(worker_id)
        if record is not None:
            record.on_trial = False

    def note_failed(self, worker_id: WorkerId) -> None:
        """Records a failed start."""
        record = self._records.setdefault(worker_id, _Record())
        record.failures += 1
        if record.on_trial:
            record.on_trial = False
            record.period = min(record.period * 2, _LONGEST_PERIOD)
            record.until = self.clock.monotonic() + record.period
        elif self._should_hold(record):
            record.until = self.clock.monotonic() + record.period

    def forget(self, worker_id: WorkerId) -> None:
        """Drops what is known of a worker that was replaced."""
        self._records.pop(worker_id, None)

    def _should_hold(self, record: _Record) -> bool:
        return (
            record.until is None
            and record.failures >= _FAILURES_IN_A_ROW
            and len(self._held()) < self.limit
        )

    def _held(self) -> list[WorkerId]:
        return [
            worker_id
            for worker_id, record in self._records.items()
            if record.until is not None
        ]

    def _end(self, worker_id: WorkerId) -> timedelta:
        return self._records[worker_id].until or timedelta(0)
