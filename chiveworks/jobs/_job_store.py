"""Job records in the platform's key-value store."""

from dataclasses import dataclass

from result import Err, Ok, Result

from chiveworks.base import Failure, JobId, Revision, StoreLeaseId, TenantName
from chiveworks.jobs._job_record import JobRecord
from chiveworks.store import Store, StoreConflict

_PREFIX = 'jobs/'


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job record and its revision in the store."""

    job: JobRecord
    revision: Revision


class JobStore:
    """Reads and writes job records; resolves writes whose response was lost."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def fetch(self, job_id: JobId) -> Result[StoredJob | None, Failure]:
        """Reads a job; None when there is no record of it."""
        read = await self._store.fetch(f'{_PREFIX}{job_id}')
        if isinstance(read, Err):
            return read
        entry = read.ok_value.first()
        if entry is None:
            return Ok(None)
        return Ok(StoredJob(JobRecord.decode(entry.value), entry.mod_revision))

    async def list_tenant(
        self, tenant: TenantName
    ) -> Result[tuple[JobRecord, ...], Failure]:
        """Reads all jobs of a tenant."""
        read = await self._store.list_prefix(f'{_PREFIX}{tenant}.')
        return read.map(
            lambda found: tuple(
                JobRecord.decode(entry.value) for entry in found.entries
            )
        )

    async def write(
        self,
        job: JobRecord,
        expected: Revision,
        lease: StoreLeaseId | None = None,
    ) -> Result[Revision, Failure | StoreConflict]:
        """Writes a job if its record is at revision `expected` (0: absent).

        Args:
            job: Record to write.
            expected: Revision that the record must have.
            lease: Store lease that deletes the record when it expires.

        Returns:
            The new revision. After a failure, such as a lost response, the record is
            read back: if it equals `job`, the write was applied; if it differs or
            cannot be read, the failure of the write is returned.
        """
        key = f'{_PREFIX}{job.job_id}'
        stored = job.encode()
        written = await self._store.compare_and_swap(key, stored, expected, lease)
        if isinstance(written, Ok) or isinstance(written.err_value, StoreConflict):
            return written
        read = await self._store.fetch(key)
        if isinstance(read, Err):
            return written
        entry = read.ok_value.first()
        if entry is not None and entry.value == stored:
            return Ok(entry.mod_revision)
        return written
