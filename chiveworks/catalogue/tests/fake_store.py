"""In-memory store with fault injection, limited to what the catalogue uses."""

from datetime import timedelta

from result import Err, Ok

from chiveworks.base import Failure, ManualClock, Revision, Step
from chiveworks.store import StoreConflict, StoreEntry, StoreRead

LOST_RESPONSE = Failure.unknown(Step.STORE_WRITE, 'store', 'no response')
STORE_DOWN = Failure.not_run(Step.STORE_READ, 'store', 'connection refused')


class FakeStore:
    """Store that injects faults into writes and reads.

    Attributes:
        faults: Faults of the next writes, in order. `lose_request` discards the write,
            `lose_answer` applies it and `late` adds it to `late`; in all three cases
            the response is lost. An empty string is no fault.
        late: Writes whose response was lost and that are applied before the next
            write.
        failing_reads: Number of reads that fail next.
        before_write: Awaited once before the next write, to simulate a race.
    """

    def __init__(self):
        self.revision = 0
        self.rows: dict[str, StoreEntry] = {}
        self.faults: list[str] = []
        self.late: list[tuple[str, bytes, Revision]] = []
        self.failing_reads = 0
        self.before_write = None

    async def fetch(self, key):
        if self.failing_reads:
            self.failing_reads -= 1
            return Err(STORE_DOWN)
        row = self.rows.get(key)
        return Ok(StoreRead(Revision(self.revision), (row,) if row else ()))

    async def compare_and_swap(self, key, value, expected, lease=None):
        fault = self.faults.pop(0) if self.faults else ''
        if self.before_write:
            write_concurrently, self.before_write = self.before_write, None
            await write_concurrently()
        if fault == 'lose_request':
            return Err(LOST_RESPONSE)
        if fault == 'late':
            self.late.append((key, value, expected))
            return Err(LOST_RESPONSE)
        while self.late:
            await self._write(*self.late.pop(0))
        outcome = await self._write(key, value, expected)
        return Err(LOST_RESPONSE) if fault == 'lose_answer' else outcome

    async def _write(self, key, value, expected):
        row = self.rows.get(key)
        found = row.mod_revision if row else Revision(0)
        if found != expected:
            return Err(StoreConflict(key, expected, found))
        self.revision += 1
        at = Revision(self.revision)
        self.rows[key] = StoreEntry(key, value, at, row.create_revision if row else at)
        return Ok(at)

    async def not_implemented(self, *arguments, **named):
        raise NotImplementedError

    delete = list_prefix = watch = not_implemented
    grant_lease = renew_lease = revoke_lease = not_implemented


class AutoAdvanceClock(ManualClock):
    """Clock on which `sleep` advances the time and returns at once."""

    async def sleep(self, delay: timedelta) -> None:
        self.shift(delay)
