"""Hands the leases of workers that are out of reach over to the next leader."""

from collections.abc import Mapping
from datetime import timedelta
from functools import partial
from typing import Final
from weakref import WeakValueDictionary

from chiveworks.base import Clock, WorkerId
from chiveworks.dispatch._lease_record import decode_leases, encode_leases
from chiveworks.dispatch._progress_writer import ProgressWriter
from chiveworks.dispatch._worker_lease import BRIEF_LAPSE, WorkerLease
from chiveworks.events import EventLog
from chiveworks.metastore import LEASES_KEY, Term

#: Time for which a worker has to be out of reach before it is recorded. A short loss of
#: contact then does not freeze its lease.
RECORD_AFTER: Final = timedelta(seconds=1)
#: Interval at which the record is rewritten while it names workers.
RECORD_INTERVAL: Final = timedelta(milliseconds=250)


class LeaseHandover:
    """Stores how long the leases of workers that are out of reach still run.

    Without the record, each new leader would have to assume that the lease of a worker
    that it cannot reach was extended just before its term. The stored times are relative
    to the write. A leader counts them from its read, so it waits for too long if
    anything, but not for a whole lease. While a worker is in the stored record, its lease
    is frozen: it is extended only briefly, and if it has not lapsed, the record gives at
    least the time that such an extension takes. The runs of a worker that responds again
    thus go on although the store refuses the record without it.

    Only the record of the last term that has written counts: a later term may have
    extended any lease. The first write of a term is therefore its record. Until then it
    freezes the leases in the record of another term, which thus stays valid if it ends
    earlier. A term that cannot read that record must not extend any lease before.

    Args:
        term: Leadership term that writes the record.
        clock: Source of time.
        log: Event log for a record that cannot be read.
        writer: Writes the record.
        lease_limit: Longest lease that a worker grants.

    Attributes:
        confirmed: Whether the first record of the term is stored.
    """

    def __init__(
        self,
        term: Term,
        clock: Clock,
        log: EventLog,
        writer: ProgressWriter,
        lease_limit: timedelta,
    ) -> None:
        self._term = term
        self._clock = clock
        self._log = log
        self._writer = writer
        self._lease_limit = lease_limit
        self._inherited: dict[WorkerId, timedelta] = {}
        self._recovering: dict[WorkerId, timedelta] = {}
        self._leases: WeakValueDictionary[WorkerId, WorkerLease] = WeakValueDictionary()
        # Workers that a stored record may contain, and those in the latest record.
        self._frozen: set[WorkerId] = set()
        self._recorded: set[WorkerId] | None = None
        self.confirmed = False
        self._recorded_at = timedelta()

    def inherit(self, stored: bytes) -> bool:
        """Takes over the record of the previous leader, which has just been read.

        Returns:
            Whether leases may be extended before `confirm` has ended.
        """
        now = self._clock.monotonic()
        try:
            token, times_left = decode_leases(stored)
        except ValueError as error:
            self._log.write('entry_skipped', key=LEASES_KEY, reason=str(error))
            return False
        if token != self._term.previous_token:
            self._log.write('leases_outdated', token=token)
            return True
        self._inherited = {
            # The record may be that of an earlier version, without brief extensions.
            worker_id: now + _with_brief_extension(left)
            for worker_id, left in times_left.items()
        }
        self._frozen.update(self._inherited)
        self._recovering.update(self._inherited)
        longest = max(times_left.values(), default=timedelta())
        self._log.write(
            'leases_inherited',
            token=token,
            workers=len(times_left),
            longest_left_s=longest.total_seconds(),
        )
        return True

    async def confirm(self) -> None:
        """Stores the inherited record as that of this term, as its first write.

        Raises:
            TermLostError: The term ended before the record was confirmed.
        """
        now = self._clock.monotonic()
        lost = self._recovering_times(now)
        self._recorded = set(lost)
        self._recorded_at = now
        await self._term.write({LEASES_KEY: self._encode(lost)})
        self.confirmed = True

    def refresh(self) -> None:
        """Renews the stored times while the state is being recovered."""
        now = self._clock.monotonic()
        if self._recovering and now - self._recorded_at >= RECORD_INTERVAL:
            self._write(self._recovering_times(now), now)

    def open(self, worker_id: WorkerId) -> WorkerLease:
        """Returns the lease of a worker that this leader has not extended yet."""
        lease = WorkerLease(
            self._lease_limit,
            self._clock.monotonic(),
            self._inherited.pop(worker_id, None),
        )
        lease.frozen = worker_id in self._frozen
        self._leases[worker_id] = lease
        return lease

    def freeze(self, worker_id: WorkerId) -> None:
        """Records a worker at once; call it for a worker that is known to be gone."""
        self._set_frozen(worker_id, frozen=True)
        # A record that is being stored does not unfreeze it.
        self._recorded = {*(self._recorded or ()), worker_id}
        self._recorded_at = self._clock.monotonic() - RECORD_INTERVAL

    def check(self, unreached: Mapping[WorkerId, WorkerLease]) -> None:
        """Writes the record if it has changed, or if it is due.

        Args:
            unreached: Leases of the workers that have runs and are out of reach.
        """
        now = self._clock.monotonic()
        lost = {
            worker_id: lease.time_left(now)
            for worker_id, lease in unreached.items()
            if lease.frozen or now - lease.observed_at >= RECORD_AFTER
        }
        is_due = bool(lost) and now - self._recorded_at >= RECORD_INTERVAL
        if self._recorded != set(lost):
            self._log.write('leases_recorded', workers=len(lost))
            is_due = True
        if is_due:
            self._write(lost, now)

    def _recovering_times(self, now: timedelta) -> dict[WorkerId, timedelta]:
        # Workers that have been reached may have been extended briefly since.
        opened = {
            worker_id: self._leases.get(worker_id) for worker_id in self._recovering
        }
        return {
            worker_id: lease.time_left(now)
            if lease
            else self._recovering[worker_id] - now
            for worker_id, lease in opened.items()
        }

    def _encode(self, lost: Mapping[WorkerId, timedelta]) -> bytes:
        times = {
            worker_id: _with_brief_extension(left) for worker_id, left in lost.items()
        }
        return encode_leases(self._term.token, times)

    def _write(self, lost: Mapping[WorkerId, timedelta], now: timedelta) -> None:
        self._recorded = set(lost)
        self._recorded_at = now
        for worker_id in lost:
            self._set_frozen(worker_id, frozen=True)
        self._writer.put(
            LEASES_KEY,
            self._encode(lost),
            partial(self._on_stored, frozenset(lost)),
        )

    def _on_stored(self, stored: frozenset[WorkerId]) -> None:
        """Allows extensions for the workers that the stored record no longer names."""
        still_frozen = stored | (self._recorded or set())
        for worker_id in self._frozen - still_frozen:
            self._set_frozen(worker_id, frozen=False)

    def _set_frozen(self, worker_id: WorkerId, *, frozen: bool) -> None:
        if frozen:
            self._frozen.add(worker_id)
        else:
            self._frozen.discard(worker_id)
        lease = self._leases.get(worker_id)
        if lease is not None:
            lease.frozen = frozen


def _with_brief_extension(left: timedelta) -> timedelta:
    """Returns the time within which a lease lapses even if it is extended briefly.

    A lease that has lapsed has no runs, so that extensions of it change nothing.
    """
    return max(left, BRIEF_LAPSE) if left > timedelta() else timedelta()
