"""The durable record of one shard, kept in the platform's store."""

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

#: Records after which a snapshot is due: half the ring.
SNAPSHOT_PERIOD = SLOT_COUNT // 2
#: Size of a snapshot part, well under the store's value limit of 1 MB.
PART_BYTES = 400_000
_NONCE_BYTES = 12
_OPEN_ATTEMPTS = 8
_OPEN_RETRY = timedelta(milliseconds=50)
_NO_SNAPSHOT = SnapshotHead(
    number=0, epoch=Epoch(0), part_epoch=Epoch(0), area=0, part_count=0
)


class Journal:
    """Ring of records with compare-and-swap on each slot, plus a snapshot.

    Two owners can never both write record `n`, because a slot is replaced only
    at its known revision. After `open` has written the epoch record, every write
    of a former owner fails.
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
        """Whether `write_snapshot` must run before many more records."""
        return self._number - self._head.number >= SNAPSHOT_PERIOD

    async def open(
        self, epoch: Epoch, opening: tuple[bytes, ...]
    ) -> Result[Replay, Failure | JournalOwnershipLost]:
        """Reads the journal and fences former owners by an epoch record.

        Args:
            epoch: Epoch of the new owner.
            opening: Changes of the epoch record itself.
        """
        self._epoch = epoch
        for _ in range(_OPEN_ATTEMPTS):
            replay = await self._read()
            if isinstance(replay, Err):
                return replay
            written = await self._fence(opening)
            if isinstance(written, Ok):
                combined = replay.ok_value.changes + opening
                return Ok(Replay(combined, self._number))
            if written.err_value.found_epoch > epoch:
                return written
            # A former owner wrote this number first: read it and try the next.
            await self._clock.sleep(_OPEN_RETRY)
        return Err(
            Failure.not_run(
                Step.STORE_WRITE, self._zone, 'the journal kept changing while opening'
            )
        )

    async def append(
        self, changes: tuple[bytes, ...]
    ) -> Result[int, JournalOwnershipLost]:
        """Writes the next record; returns its number once it is durable."""
        if self._number + 1 - self._head.number >= SLOT_COUNT:
            raise RuntimeError('the journal is full: write_snapshot must run first')
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
        """Stores changes that rebuild the state up to the last record."""
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
        self, opening: tuple[bytes, ...]
    ) -> Result[int, JournalOwnershipLost]:
        """Makes every later write of a former owner fail.

        The head is rewritten too: otherwise a former owner could still publish
        a snapshot in the area that this owner is going to overwrite.
        """
        written = await self.append(opening)
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
        # The slots are read first: a snapshot written in between is then newer
        # than the slots, never older.
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
            self._writer.remember(entry.key, entry.mod_revision)
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
            self._writer.remember(entry.key, entry.mod_revision)
            records.append(JournalRecord.decode(entry.value))
        self._number = self._head.number
        for record in sorted(records, key=_number_of):
            if record.number == self._number + 1:
                changes.extend(record.changes)
                self._number = record.number
        return Replay(tuple(changes), self._number)

    def _new_nonce(self) -> str:
        return self._random.bytes(_NONCE_BYTES).hex()


def _number_of(record: JournalRecord) -> int:
    return record.number


def _epoch_of_record(stored: bytes) -> Epoch:
    return JournalRecord.decode(stored).epoch


def _epoch_of_part(stored: bytes) -> Epoch:
    return SnapshotPart.decode(stored).epoch


def _epoch_of_head(stored: bytes) -> Epoch:
    return SnapshotHead.decode(stored).epoch


def _split(changes: tuple[bytes, ...]) -> list[tuple[bytes, ...]]:
    """Splits changes into parts of bounded size; always at least one part."""
    parts: list[list[bytes]] = [[]]
    size_bytes = 0
    for change in changes:
        if size_bytes + len(change) > PART_BYTES and parts[-1]:
            parts.append([])
            size_bytes = 0
        parts[-1].append(change)
        size_bytes += len(change)
    return [tuple(part) for part in parts]
