"""Writes the progress of changed jobs to the store, many jobs per transaction."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Final

from chiveworks.base import Clock
from chiveworks.metastore import Term, job_key, progress_key
from chiveworks.workflow import Job, encode_final_state, encode_progress

#: Maximum number of writes and removals in a transaction, without the check and the
#: write of the sequence key that `Term.write` adds.
BATCH_ENTRIES: Final = 30
#: Minimum time between two writes; changes in between share a transaction.
WRITE_GAP: Final = timedelta(milliseconds=25)


class ProgressWriter:
    """Collects changed jobs and makes them durable in order.

    Args:
        term: Leadership term under which the store is written.
        clock: Source of time.
        on_durable: Called with each job whose latest written state is durable.
    """

    def __init__(
        self, term: Term, clock: Clock, on_durable: Callable[[Job], None]
    ) -> None:
        self._term = term
        self._clock = clock
        self._on_durable = on_durable
        self._changed: dict[str, Job] = {}
        self._wake = asyncio.Event()
        self._extra: dict[str, bytes] = {}
        self._extra_stored: dict[str, Callable[[], None]] = {}

    def mark(self, job: Job) -> None:
        """Marks the progress of a job as changed."""
        job.version += 1
        self._changed[job.job_id] = job
        self._wake.set()

    def put(
        self, key: str, content: bytes, on_stored: Callable[[], None] | None = None
    ) -> None:
        """Writes another key with the next transaction.

        Args:
            key: Key to write.
            content: New content.
            on_stored: Called once the content is durable, unless the key has been put
                again by then.
        """
        self._extra[key] = content
        if on_stored is not None:
            self._extra_stored[key] = on_stored
        self._wake.set()

    async def run(self) -> None:
        """Writes changes as they occur.

        Raises:
            TermLostError: The term has ended.
        """
        while True:
            await self._wake.wait()
            await self._write_batch()
            if not (self._changed or self._extra):
                self._wake.clear()
            await self._clock.sleep(WRITE_GAP)

    async def _write_batch(self) -> None:
        writes = self._extra
        on_stored = tuple(self._extra_stored.values())
        self._extra = {}
        self._extra_stored = {}
        removals: list[str] = []
        batch: list[tuple[Job, int]] = []
        while self._changed and len(writes) + len(removals) < BATCH_ENTRIES - 1:
            job = self._changed.pop(next(iter(self._changed)))
            batch.append((job, job.version))
            _encode(job, writes, removals)
        await self._term.write(writes, removals)
        for callback in on_stored:
            callback()
        for job, version in batch:
            job.durable_version = version
            self._on_durable(job)


def _encode(job: Job, writes: dict[str, bytes], removals: list[str]) -> None:
    # The submission is kept until the job has no active tasks, since a new leader
    # needs it to stop the remaining ones.
    if job.state.terminal and not job.active_tasks():
        writes[job_key(job.job_id)] = encode_final_state(
            job.state, job.submission.owner
        )
        removals.append(progress_key(job.job_id))
    else:
        writes[progress_key(job.job_id)] = encode_progress(job)
