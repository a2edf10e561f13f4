"""Group commit of table changes to the journal."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from result import Err

from chiveworks.base import Clock
from chiveworks.jobs import Change, TaskTable, encode_change
from chiveworks.journal import Journal
from chiveworks.scheduler._shard_lost_error import ShardLostError

#: Maximum size of the changes in one record, below the store's value limit of 1 MB.
_MAX_RECORD_BYTES = 400_000


class GroupCommitter:
    """Applies changes to the table immediately and journals them in batches.

    The table is ahead of the journal while a batch is being written. Anything that
    leaves the process (a command to a worker, a response to a caller) must wait for
    the future returned by `commit`. When another owner takes over the journal,
    this table is discarded.
    """

    def __init__(
        self, journal: Journal, table: TaskTable, clock: Clock, tick: timedelta
    ) -> None:
        self._journal = journal
        self._table = table
        self._clock = clock
        self._tick = tick
        self._listener: Callable[[Change], None] = _ignore
        self._pending: list[tuple[bytes, asyncio.Future[None]]] = []
        self._has_pending = asyncio.Event()
        self._writing: asyncio.Future[None] | None = None
        self._stopped = False

    @property
    def pending_count(self) -> int:
        """Number of changes that are not part of a batch yet."""
        return len(self._pending)

    def register_listener(self, listener: Callable[[Change], None]) -> None:
        """Registers the only listener; it is called after each applied change."""
        self._listener = listener

    def commit(self, *changes: Change) -> 'asyncio.Future[None]':
        """Applies changes to the table and schedules them for the next batch.

        Returns:
            A future that completes once the changes are durable. It fails with
            `ShardLostError` if `run` ends first, for example because another owner
            took the shard.
        """
        durable = asyncio.get_running_loop().create_future()
        # Callers may drop the future. This keeps asyncio from logging an exception
        # that was never retrieved when the shard is lost.
        durable.add_done_callback(_mark_retrieved)
        if self._stopped:
            durable.set_exception(
                ShardLostError('this process no longer writes to the journal')
            )
            return durable
        for change in changes:
            # Encoded before it is applied, because the table later modifies the job
            # object inside the change.
            encoded = encode_change(change)
            self._table.apply(change)
            self._listener(change)
            self._pending.append((encoded, durable))
        if not changes:
            durable.set_result(None)
        self._has_pending.set()
        return durable

    def barrier(self) -> 'asyncio.Future[None]':
        """Returns a future that completes once all changes so far are durable."""
        if self._pending:
            return self._pending[-1][1]
        if self._writing is not None:
            return self._writing
        return self.commit()

    async def run(self) -> None:
        """Writes batches until another owner takes over the journal.

        Raises:
            ShardLostError: Another owner wrote to the journal.
        """
        try:
            while True:
                await self._has_pending.wait()
                await self._write_batch()
                await self._clock.sleep(self._tick)
        finally:
            self._fail_pending()

    async def _write_batch(self) -> None:
        batch = self._cut_batch()
        snapshot: tuple[bytes, ...] | None = None
        if self._journal.snapshot_due and not self._pending:
            # Taken before the first await, so that no other change is included: the
            # snapshot equals the state after this batch.
            snapshot = tuple(encode_change(one) for one in self._table.snapshot())
        if batch:
            await self._append(batch)
        if snapshot is not None:
            written = await self._journal.write_snapshot(snapshot)
            if isinstance(written, Err):
                raise ShardLostError(
                    f'epoch {written.err_value.found_epoch} owns the journal'
                )

    async def _append(self, batch: list[tuple[bytes, asyncio.Future[None]]]) -> None:
        self._writing = batch[-1][1]
        try:
            written = await self._journal.append(tuple(change for change, _ in batch))
        except asyncio.CancelledError:
            self._pending = batch + self._pending
            raise
        finally:
            self._writing = None
        if isinstance(written, Err):
            self._pending = batch + self._pending
            raise ShardLostError(
                f'epoch {written.err_value.found_epoch} owns the journal'
            )
        # A commit that is split over several records is durable with the last one.
        unfinished = {id(durable) for _, durable in self._pending}
        for _, durable in batch:
            if not durable.done() and id(durable) not in unfinished:
                durable.set_result(None)

    def _cut_batch(self) -> list[tuple[bytes, asyncio.Future[None]]]:
        size_bytes = 0
        count = 0
        for change, _ in self._pending:
            size_bytes += len(change)
            if size_bytes > _MAX_RECORD_BYTES and count:
                break
            count += 1
        batch = self._pending[:count]
        self._pending = self._pending[count:]
        if not self._pending:
            self._has_pending.clear()
        return batch

    def _fail_pending(self) -> None:
        self._stopped = True
        for _, durable in self._pending:
            if not durable.done():
                durable.set_exception(
                    ShardLostError('this process no longer writes to the journal')
                )
        self._pending = []


def _ignore(_change: Change) -> None:
    """Default listener."""


def _mark_retrieved(durable: 'asyncio.Future[None]') -> None:
    if not durable.cancelled():
        durable.exception()
