"""Quarantine of workers after failed starts and tasks."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import Clock, WorkerId

_FAILURES_TO_QUARANTINE = 3
_FIRST_PERIOD = timedelta(seconds=30)
_MAX_PERIOD = timedelta(minutes=10)
#: At most one in this many workers of a zone is quarantined, since a fault of the
#: platform or of a job can look like a fault of every worker.
_WORKERS_PER_QUARANTINED = 3


@dataclass
class _Record:
    """A worker's failures; `until`, the time of the next trial, is set in quarantine."""

    failures: int = 0
    period: timedelta = _FIRST_PERIOD
    until: timedelta | None = None
    on_trial: bool = False


class Quarantine:
    """Tracks failures on workers; a quarantined one returns after a successful trial.

    Failures are refused starts and failed tasks.

    Args:
        clock: Source of monotonic time.
        fleet_size: Number of workers in the zone.
    """

    def __init__(self, clock: Clock, fleet_size: int) -> None:
        self.clock = clock
        self.fleet_size = fleet_size
        self._records: dict[WorkerId, _Record] = {}

    def resize(self, fleet_size: int) -> None:
        """Changes the number of workers in the zone.

        If the limit shrinks, workers whose quarantine ends first are released.
        """
        self.fleet_size = fleet_size
        quarantined = sorted(
            self._quarantined(), key=lambda worker: self._quarantine_end(worker)
        )
        for worker_id in quarantined[: max(len(quarantined) - self.limit, 0)]:
            self._records.pop(worker_id)

    @property
    def limit(self) -> int:
        """Returns the maximum number of quarantined workers."""
        return self.fleet_size // _WORKERS_PER_QUARANTINED

    def allows(self, worker_id: WorkerId) -> bool:
        """Tells whether a task may be sent to the worker now."""
        record = self._records.get(worker_id)
        if record is None or record.until is None:
            return True
        return not record.on_trial and self.clock.monotonic() >= record.until

    def failed_starts(self, worker_id: WorkerId) -> int:
        """Returns the worker's number of consecutive failed starts and tasks."""
        record = self._records.get(worker_id)
        return record.failures if record else 0

    def quarantined(self) -> tuple[WorkerId, ...]:
        """Returns the quarantined workers, including those on trial."""
        return tuple(self._quarantined())

    def note_sent(self, worker_id: WorkerId) -> None:
        """Records that a start was sent; to a quarantined worker it is the trial."""
        record = self._records.get(worker_id)
        if record is not None and record.until is not None:
            record.on_trial = True

    def note_succeeded(self, worker_id: WorkerId) -> None:
        """Records a success, which ends a quarantine and resets the failures."""
        self._records.pop(worker_id, None)

    def note_not_run(self, worker_id: WorkerId) -> None:
        """Records that a start was not run, without the worker being at fault."""
        record = self._records.get(worker_id)
        if record is not None:
            record.on_trial = False

    def note_failed(self, worker_id: WorkerId) -> None:
        """Records a failed start or task."""
        record = self._records.setdefault(worker_id, _Record())
        record.failures += 1
        if record.on_trial:
            record.on_trial = False
            record.period = min(record.period * 2, _MAX_PERIOD)
            record.until = self.clock.monotonic() + record.period
        elif self._should_quarantine(record):
            record.until = self.clock.monotonic() + record.period

    def forget(self, worker_id: WorkerId) -> None:
        """Removes the record of a worker that was replaced."""
        self._records.pop(worker_id, None)

    def _should_quarantine(self, record: _Record) -> bool:
        return (
            record.until is None
            and record.failures >= _FAILURES_TO_QUARANTINE
            and len(self._quarantined()) < self.limit
        )

    def _quarantined(self) -> list[WorkerId]:
        return [
            worker_id
            for worker_id, record in self._records.items()
            if record.until is not None
        ]

    def _quarantine_end(self, worker_id: WorkerId) -> timedelta:
        return self._records[worker_id].until or timedelta(0)
