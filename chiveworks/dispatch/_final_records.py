"""Removal of the stored final states of jobs after the retention time."""

from datetime import timedelta

from chiveworks.base import Clock, JobId
from chiveworks.dispatch._progress_writer import ProgressWriter
from chiveworks.metastore import job_key


class FinalRecords:
    """Removes the records of ended jobs, whichever leader ended them.

    A record does not say when its job ended, so its age is counted from when this
    leader first reads it.

    Args:
        clock: Source of time.
        writer: Removes records from the store.
        retention: Time for which a record is kept after it was first read.
    """

    def __init__(
        self, clock: Clock, writer: ProgressWriter, retention: timedelta
    ) -> None:
        self._clock = clock
        self._writer = writer
        self._retention = retention
        # Ordered by the time of the first read.
        self._first_read_at: dict[JobId, timedelta] = {}

    def observe(self, job_id: JobId, *, final: bool) -> None:
        """Takes note of a read record; a removed record is not final."""
        if final:
            self._first_read_at.setdefault(job_id, self._clock.monotonic())
        else:
            self._first_read_at.pop(job_id, None)

    def remove_old(self) -> None:
        """Requests the removal of all records that have been kept for long enough."""
        limit = self._clock.monotonic() - self._retention
        while self._first_read_at:
            job_id, first_read_at = next(iter(self._first_read_at.items()))
            if first_read_at >= limit:
                break
            self._first_read_at.pop(job_id)
            self._writer.remove(job_key(job_id))
