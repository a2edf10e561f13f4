"""Removal of stored records of jobs after a retention time."""

import asyncio
from collections.abc import Mapping
from datetime import timedelta
from typing import Final

from chiveworks.base import Clock, JobId, Revision
from chiveworks.metastore import Term, job_key

#: Maximum number of removals in a transaction.
BATCH_REMOVALS: Final = 30
#: Time for which records that are due wait for others, to share a transaction.
REMOVAL_GAP: Final = timedelta(milliseconds=200)
#: The same while a whole batch is due.
BATCH_GAP: Final = timedelta(milliseconds=25)


class FinalRecords:
    """Removes the records of jobs that do not run any more, whoever wrote them.

    A record does not say when it was written, so its age is counted from when this
    leader first reads it. Only the record that was read is removed, not one that has
    replaced it by the time at which the store carries out the removal.

    Args:
        term: Leadership term under which records are removed.
        clock: Source of time.
        retention: Time for which a record is kept after it was first read, by type.
    """

    def __init__(
        self, term: Term, clock: Clock, retention: Mapping[type, timedelta]
    ) -> None:
        self._term = term
        self._clock = clock
        self._retention = retention
        # Revision and time of the first read, ordered by the latter.
        self._kept: dict[type, dict[JobId, tuple[Revision, timedelta]]] = {
            kind: {} for kind in retention
        }
        self._due: dict[str, Revision] = {}
        self._wake = asyncio.Event()

    def observe(self, job_id: JobId, record: object, revision: Revision | None) -> None:
        """Takes note of the record of a job.

        Args:
            job_id: Job.
            record: The record; None if it was removed.
            revision: Revision of the record; None if it was removed.
        """
        for kind, kept in self._kept.items():
            earlier = kept.get(job_id)
            if revision is None or not isinstance(record, kind):
                kept.pop(job_id, None)
            elif earlier is None or earlier[0] != revision:
                kept.pop(job_id, None)
                kept[job_id] = (revision, self._clock.monotonic())

    def collect_old(self) -> None:
        """Makes all records due for removal that have been kept for long enough."""
        for kind, kept in self._kept.items():
            self._collect_until(self._clock.monotonic() - self._retention[kind], kept)

    async def run(self) -> None:
        """Removes the records that are due until the term is lost."""
        while self._term.valid:
            await self._wake.wait()
            whole_batch = len(self._due) >= BATCH_REMOVALS
            await self._clock.sleep(BATCH_GAP if whole_batch else REMOVAL_GAP)
            await self._remove_batch()
            if not self._due:
                self._wake.clear()

    async def _remove_batch(self) -> None:
        batch = dict(list(self._due.items())[:BATCH_REMOVALS])
        for key in await self._term.remove_unchanged(batch):
            self._due.pop(key)

    def _collect_until(
        self, limit: timedelta, kept: dict[JobId, tuple[Revision, timedelta]]
    ) -> None:
        while kept:
            job_id, (revision, read_at) = next(iter(kept.items()))
            if read_at >= limit:
                break
            kept.pop(job_id)
            self._due[job_key(job_id)] = revision
            self._wake.set()
