"""Removal of stored records of jobs after a retention time."""

from collections.abc import Mapping
from datetime import timedelta

from chiveworks.base import Clock, JobId
from chiveworks.dispatch._progress_writer import ProgressWriter
from chiveworks.metastore import job_key


class FinalRecords:
    """Removes the records of jobs that do not run any more, whoever wrote them.

    A record does not say when it was written, so its age is counted from when this
    leader first reads it.

    Args:
        clock: Source of time.
        writer: Removes records from the store.
        retention: Time for which a record is kept after it was first read, by type.
    """

    def __init__(
        self,
        clock: Clock,
        writer: ProgressWriter,
        retention: Mapping[type, timedelta],
    ) -> None:
        self._clock = clock
        self._writer = writer
        self._retention = retention
        # Ordered by the time of the first read.
        self._first_read_at: dict[type, dict[JobId, timedelta]] = {
            kind: {} for kind in retention
        }

    def observe(self, job_id: JobId, record: object) -> None:
        """Takes note of the record of a job; None if it was removed."""
        for kind, first_read_at in self._first_read_at.items():
            if isinstance(record, kind):
                first_read_at.setdefault(job_id, self._clock.monotonic())
            else:
                first_read_at.pop(job_id, None)

    def remove_old(self) -> None:
        """Requests the removal of all records that have been kept for long enough."""
        for kind, first_read_at in self._first_read_at.items():
            self._remove_until(
                self._clock.monotonic() - self._retention[kind], first_read_at
            )

    def _remove_until(
        self, limit: timedelta, first_read_at: dict[JobId, timedelta]
    ) -> None:
        while first_read_at:
            job_id, read_at = next(iter(first_read_at.items()))
            if read_at >= limit:
                break
            first_read_at.pop(job_id)
            self._writer.remove(job_key(job_id))
