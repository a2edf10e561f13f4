"""Hands the leases of workers over to the next leader."""

from collections.abc import Mapping
from datetime import timedelta
from functools import partial
from typing import Final
from weakref import WeakValueDictionary

from chiveworks.base import Clock, WorkerId
from chiveworks.dispatch._inherited_leases import InheritedLeases
from chiveworks.dispatch._lease_record import LeaseRecord
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
    that it cannot reach was extended just before its term. The record gives a time left
    for each worker that is named in it, and while the term restores its state also one
    for all others. A reader counts the times from its read, or from when it saw the term
    of the record begin if that is earlier, so that the time without a leader counts.

    The lease of a worker is frozen while the stored record gives a time for it: it is
    extended only briefly, and if it has not lapsed, the record gives at least the time
    that such an extension takes. The runs of a worker that responds thus go on although
    the store refuses a record without it.

    Only the record of the last term that has written counts: a later term may have
    extended any lease. The first write of a term is therefore its record. It gives times
    for all workers, so that the term extends leases only briefly until a record is
    stored that names just the workers that have runs and have not been reached. A term
    that ends earlier does not make the next one wait anew.

    Args:
        term: Leadership term that writes the record.
        clock: Source of time.
        log: Event log for the inherited record.
        writer: Writes the record.
        lease_limit: Longest lease that a worker grants.
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
        self._inherited = InheritedLeases(clock, log, lease_limit)
        self._leases: WeakValueDictionary[WorkerId, WorkerLease] = WeakValueDictionary()
        # Whether the stored record may give a time for workers that it does not name.
        self._all_frozen = True
        # Workers that a stored record may name, and those in the latest record.
        self._frozen: set[WorkerId] = set()
        self._recorded: set[WorkerId] | None = None
        self._recorded_at = timedelta()
        # Whether the leases are inherited and the state is still being restored.
        self._recovering = False
        self._opened: set[WorkerId] = set()

    def inherit(self, stored: bytes | None) -> None:
        """Takes over the record of an earlier leader, which has just been read."""
        self._recovering = True
        self._inherited.read(stored, self._term.last_writer)

    async def confirm(self) -> None:
        """Stores the inherited times as the record of this term, as its first write.

        Raises:
            TermLostError: The term ended before the record was confirmed.
        """
        now = self._clock.monotonic()
        self._recorded_at = now
        await self._term.write({LEASES_KEY: self._encode_inherited(now)})

    def refresh(self) -> None:
        """Renews the stored times while the state is being restored."""
        now = self._clock.monotonic()
        if self._recovering and now - self._recorded_at >= RECORD_INTERVAL:
            self._recorded_at = now
            self._writer.put(LEASES_KEY, self._encode_inherited(now))

    def open(self, worker_id: WorkerId) -> WorkerLease:
        """Returns the lease of a worker that this leader has not extended yet."""
        # This leader may have extended a lease that it opens again.
        lapses_at = (
            None if worker_id in self._opened else self._inherited.lapses_at(worker_id)
        )
        lease = WorkerLease(self._lease_limit, self._clock.monotonic(), lapses_at)
        self._opened.add(worker_id)
        lease.frozen = self._all_frozen or worker_id in self._frozen
        self._leases[worker_id] = lease
        return lease

    def end_recovery(self, unreached: Mapping[WorkerId, WorkerLease]) -> None:
        """Writes the first record that gives no time for the workers it does not name.

        Args:
            unreached: Leases of the workers that have runs and are out of reach.
        """
        self._recovering = False
        now = self._clock.monotonic()
        self._log.write('leases_recorded', workers=len(unreached))
        self._write(_times_left(unreached, now), now)

    def check(self, unreached: Mapping[WorkerId, WorkerLease]) -> None:
        """Writes the record if it has changed, or if it is due.

        Args:
            unreached: Leases of the workers that have runs and are out of reach.
        """
        now = self._clock.monotonic()
        lost = {
            worker_id: lease
            for worker_id, lease in unreached.items()
            if lease.frozen or now - lease.observed_at >= RECORD_AFTER
        }
        is_due = bool(lost) and now - self._recorded_at >= RECORD_INTERVAL
        if self._recorded != set(lost):
            self._log.write('leases_recorded', workers=len(lost))
            is_due = True
        if is_due:
            self._write(_times_left(lost, now), now)

    def _encode_inherited(self, now: timedelta) -> bytes:
        # Workers that have been reached may have been extended briefly since.
        times_left = self._inherited.times_left(now)
        times_left.update(_times_left(self._leases, now))
        return self._encode(times_left, now, self._inherited.default_left(now))

    def _encode(
        self,
        times_left: Mapping[WorkerId, timedelta],
        now: timedelta,
        default_left: timedelta | None = None,
    ) -> bytes:
        record = LeaseRecord(
            self._term.token,
            {
                worker_id: _with_brief_extension(left)
                for worker_id, left in times_left.items()
            },
            None if default_left is None else _with_brief_extension(default_left),
            now - self._term.acquired_at,
        )
        return record.encode()

    def _write(self, times_left: Mapping[WorkerId, timedelta], now: timedelta) -> None:
        self._recorded = set(times_left)
        self._recorded_at = now
        for worker_id in times_left:
            self._set_frozen(worker_id, frozen=True)
        self._writer.put(
            LEASES_KEY,
            self._encode(times_left, now),
            partial(self._on_stored, frozenset(times_left)),
        )

    def _on_stored(self, stored: frozenset[WorkerId]) -> None:
        """Allows extensions for the workers that the stored record no longer names."""
        self._all_frozen = False
        still_frozen = stored | (self._recorded or set())
        for worker_id in {*self._frozen, *self._leases} - still_frozen:
            self._set_frozen(worker_id, frozen=False)

    def _set_frozen(self, worker_id: WorkerId, *, frozen: bool) -> None:
        if frozen:
            self._frozen.add(worker_id)
        else:
            self._frozen.discard(worker_id)
        lease = self._leases.get(worker_id)
        if lease is not None:
            lease.frozen = frozen


def _times_left(
    leases: Mapping[WorkerId, WorkerLease], now: timedelta
) -> dict[WorkerId, timedelta]:
    return {worker_id: lease.time_left(now) for worker_id, lease in leases.items()}


def _with_brief_extension(left: timedelta) -> timedelta:
    """Returns the time within which a lease lapses even if it is extended briefly.

    A lease that has lapsed has no runs, so that extensions of it change nothing.
    """
    return max(left, BRIEF_LAPSE) if left > timedelta() else timedelta()
