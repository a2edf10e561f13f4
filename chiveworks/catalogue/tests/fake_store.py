"""A store in memory, as far as the catalogue uses one."""

from datetime import timedelta

from result import Err, Ok

from chiveworks.base import Failure, ManualClock, Revision, Step
from chiveworks.store import StoreConflict, StoreEntry, StoreRead

LOST = Failure.unknown(Step.STORE_WRITE, 'store', 'no answer')
DOWN = Failure.not_run(Step.STORE_READ, 'store', 'connection refused')


class FakeStore:
    """Keeps keys and revisions; `faults` is consumed by the next writes."""

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
            return Err(DOWN)
        row = self.rows.get(key)
        return Ok(StoreRead(Revision(self.revision), (row,) if row else ()))

    async def compare_and_swap(self, key, value, expected, lease=None):
        fault = self.faults.pop(0) if self.faults else ''
        if self.before_write:
            race, self.before_write = self.before_write, None
            await race()
        if fault == 'lose_request':
            return Err(LOST)
        if fault == 'late':
            self.late.append((key, value, expected))
            return Err(LOST)
        while self.late:
            await self._write(*self.late.pop(0))
        outcome = await self._write(key, value, expected)
        return Err(LOST) if fault == 'lose_answer' else outcome

    async def _write(self, key, value, expected):
        row = self.rows.get(key)
        found = row.mod_revision if row else Revision(0)
        if found != expected:
            return Err(StoreConflict(key, expected, found))
        self.revision += 1
        at = Revision(self.revision)
        self.rows[key] = StoreEntry(key, value, at, row.create_revision if row else at)
        return Ok(at)

    async def unused(self, *arguments, **named):
        raise NotImplementedError

    delete = list_prefix = watch = unused
    grant_lease = renew_lease = revoke_lease = unused


class AutoAdvanceClock(ManualClock):
    """Sleeping moves the clock at once."""

    async def sleep(self, delay: timedelta) -> None:
        self.shift(delay)
