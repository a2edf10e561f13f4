"""Durable journal of one shard, kept in the platform's store."""

from dataclasses import replace
from datetime import timedelta

from numpy.random import Generator
from result import Err, Ok, Result

from chiveworks.base import Clock, Epoch, Failure, Step, ZoneName
from chiveworks.journal._fenced_writer import FencedWriter
from chiveworks.journal._journal_ownership_lost import JournalOwnershipLost
from chiveworks.journal._keys import (
    SLOT_COUNT,
    head_key,
    journal_prefix,
    part_key,
    slot_key,
    snapshot_prefix,
)
from chiveworks.journal._record import JournalRecord
from chiveworks.journal._replay import Replay
from chiveworks.journal._snapshot_head import SnapshotHead
from chiveworks.journal._snapshot_part import SnapshotPart
from chiveworks.store import Store, StoreEntry

#: Number of records after which a snapshot is due: half of the ring.
SNAPSHOT_PERIOD_RECORDS = SLOT_COUNT // 2
#: Maximum size of a snapshot part, well below the store's value limit of 1 MB.
SNAPSHOT_PART_BYTES = 400_000
_NONCE_BYTES = 12
_MAX_OPEN_ATTEMPTS = 8
_OPEN_RETRY_DELAY = timedelta(milliseconds=50)
_NO_SNAPSHOT = SnapshotHead(
    number=0, epoch=Epoch(0), part_epoch=Epoch(0), area=0, part_count=0
)


class Journal:
    """Ring buffer of records, written by compare-and-swap, plus a snapshot.

    Two owners can never both write record `n`, because a slot is replaced only
    at its known revision. Once `open` has written the epoch record, every write
    by a former owner fails.
    """

    def __init__(
        self, store: Store, zone: ZoneName, clock: Clock, random: Generator
    ) -> None:
        self._store = store
        self._zone = zone
        self._clock = clock
        self._random = random
        self._writer = FencedWriter(store, clock, random)
        self._epoch = Epoch(0)
        self._number = 0
        self._head = _NO_SNAPSHOT

    @property
    def number(self) -> int:
        """Number of the last durable record."""
        return self._number

    @property
    def snapshot_due(self) -> bool:
        """Whether `write_snapshot` must be called before the ring fills up."""
        return self._number - self._head.number >= SNAPSHOT_PERIOD_RECORDS

    async def open(
        self, epoch: Epoch, opening_changes: tuple[bytes, ...]
    ) -> Result[Replay, Failure | JournalOwnershipLost]:
        """Reads the journal and fences off former owners with an epoch record.

        Args:
            epoch: Epoch of the new owner.
            opening_changes: Changes contained in the epoch record.
        """
        self._epoch = epoch
        for _ in range(_MAX_OPEN_ATTEMPTS):
            replay = await self._read()
            if isinstance(replay, Err):
                return replay
            written = await self._fence(opening_changes)
            if isinstance(written, Ok):
                combined = replay.ok_value.changes + opening_changes
                return Ok(Replay(combined, self._number))
            if written.err_value.found_epoch > epoch:
                return written
            # A former owner wrote this record first: read it and try the next one.
            await self._clock.sleep(_OPEN_RETRY_DELAY)
        return Err(
            Failure.not_run(
                Step.STORE_WRITE,
                self._zone,
                'another owner kept writing to the journal while it was being opened',
            )
        )

    async def append(
        self, changes: tuple[bytes, ...]
    ) -> Result[int, JournalOwnershipLost]:
        """Writes the next record and returns its number once it is durable.

        Raises:
            RuntimeError: The ring is full, because a due snapshot was not written.
        """
        if self._number + 1 - self._head.number >= SLOT_COUNT:
            raise RuntimeError('the journal is full: call write_snapshot first')
        record = JournalRecord(
            self._number + 1, self._epoch, self._new_nonce(), changes
        )
        written = await self._writer.write(
            slot_key(self._zone, record.number), record.encode(), _epoch_of_record
        )
        if isinstance(written, Err):
            return written
        self._number = record.number
        return Ok(record.number)

    async def write_snapshot(
        self, changes: tuple[bytes, ...]
    ) -> Result[int, JournalOwnershipLost]:
        """Stores changes that rebuild the state up to the last record.

        The parts go to the area that the current snapshot does not use; the head
        then switches over to them.
        """
        area = 1 - self._head.area
        number = self._number
        parts = _split(changes)
        for index, part_changes in enumerate(parts):
            part = SnapshotPart(number, self._epoch, part_changes)
            written = await self._writer.write(
                part_key(self._zone, area, index),
                part.encode(),
                _epoch_of_part,
                replace_below=self._epoch,
            )
            if isinstance(written, Err):
                return written
        head = SnapshotHead(number, self._epoch, self._epoch, area, len(parts))
        return await self._write_head(head)

    async def _fence(
        self, opening_changes: tuple[bytes, ...]
    ) -> Result[int, JournalOwnershipLost]:
        """Makes all further writes by a former owner fail.

        The head is rewritten as well, since a former owner could otherwise still
        publish a snapshot in the area that this owner will overwrite next.
        """
        written = await self.append(opening_changes)
        if isinstance(written, Err):
            return written
        head = self._head
        fenced = await self._write_head(replace(head, epoch=self._epoch))
        return fenced.map(lambda _: written.ok_value)

    async def _write_head(
        self, head: SnapshotHead
    ) -> Result[int, JournalOwnershipLost]:
        written = await self._writer.write(
            head_key(self._zone), head.encode(), _epoch_of_head
        )
        if isinstance(written, Err):
            return written
        self._head = head
        return Ok(head.number)

    async def _read(self) -> Result[Replay, Failure]:
        # Reads the slots first, so that a snapshot written between the two reads is
        # newer than the slots and never older.
        slots = await self._store.list_prefix(journal_prefix(self._zone))
        if isinstance(slots, Err):
            return slots
        stored = await self._store.list_prefix(snapshot_prefix(self._zone))
        if isinstance(stored, Err):
            return stored
        snapshot = self._load_snapshot(stored.ok_value.entries)
        if snapshot is None:
            return Err(
                Failure.not_run(
                    Step.STORE_READ, self._zone, 'the snapshot is being replaced'
                )
            )
        return Ok(self._load_records(slots.ok_value.entries, snapshot))

    def _load_snapshot(
        self, entries: tuple[StoreEntry, ...]
    ) -> tuple[bytes, ...] | None:
        stored = {entry.key: entry.value for entry in entries}
        for entry in entries:
            self._writer.set_known_revision(entry.key, entry.mod_revision)
        self._head = _NO_SNAPSHOT
        if head_key(self._zone) not in stored:
            return ()
        head = SnapshotHead.decode(stored[head_key(self._zone)])
        changes: list[bytes] = []
        for index in range(head.part_count):
            key = part_key(self._zone, head.area, index)
            part = SnapshotPart.decode(stored[key]) if key in stored else None
            if part is None or (part.number, part.epoch) != (
                head.number,
                head.part_epoch,
            ):
                return None
            changes.extend(part.changes)
        self._head = head
        return tuple(changes)

    def _load_records(
        self, entries: tuple[StoreEntry, ...], snapshot: tuple[bytes, ...]
    ) -> Replay:
        changes = list(snapshot)
        records = []
        for entry in entries:
            self._writer.set_known_revision(entry.key, entry.mod_revision)
            records.append(JournalRecord.decode(entry.value))
        self._number = self._head.number
        for record in sorted(records, key=_record_number):
            if record.number == self._number + 1:
                changes.extend(record.changes)
                self._number = record.number
        return Replay(tuple(changes), self._number)

    def _new_nonce(self) -> str:
        return self._random.bytes(_NONCE_BYTES).hex()


def _record_number(record: JournalRecord) -> int:
    return record.number


def _epoch_of_record(stored: bytes) -> Epoch:
    return JournalRecord.decode(stored).epoch


def _epoch_of_part(stored: bytes) -> Epoch:
    return SnapshotPart.decode(stored).epoch


def _epoch_of_head(stored: bytes) -> Epoch:
    return SnapshotHead.decode(stored).epoch


def _split(changes: tuple[bytes, ...]) -> list[tuple[bytes, ...]]:
    """Splits changes into parts of bounded size; returns at least one part."""
    parts: list[list[bytes]] = [[]]
    size_bytes = 0
    for change in changes:
        if size_bytes + len(change) > SNAPSHOT_PART_BYTES and parts[-1]:
            parts.append([])
            size_bytes = 0
        parts[-1].append(change)
        size_bytes += len(change)
    return [tuple(part) for part in parts]
