"""Leases that earlier terms may have extended."""

from datetime import timedelta

from chiveworks.base import Clock, WorkerId
from chiveworks.dispatch._lease_record import LeaseRecord, decode_leases
from chiveworks.dispatch._worker_lease import BRIEF_LAPSE, CLOCK_DRIFT, time_to_lapse
from chiveworks.events import EventLog
from chiveworks.metastore import LEASES_KEY, LastWriter


class InheritedLeases:
    """Times by which the leases that earlier terms may have extended have lapsed.

    Before a record is read, and for all workers if there is none, that is a whole lease
    from now.

    Args:
        clock: Source of time.
        log: Event log for the record.
        lease_limit: Longest lease that a worker grants.
    """

    def __init__(self, clock: Clock, log: EventLog, lease_limit: timedelta) -> None:
        self._clock = clock
        self._log = log
        self._lease_limit = lease_limit
        self._lapses_at: dict[WorkerId, timedelta] = {}
        self._default_lapses_at = clock.monotonic() + time_to_lapse(lease_limit)

    def read(self, stored: bytes | None, last_writer: LastWriter) -> None:
        """Takes over a record that has just been read from the store.

        Args:
            stored: The record; None if there is none.
            last_writer: Last term that has written.
        """
        now = self._clock.monotonic()
        self._default_lapses_at = now + time_to_lapse(self._lease_limit)
        if stored is None:
            return
        try:
            record = decode_leases(stored)
        except ValueError as error:
            self._log.write('entry_skipped', key=LEASES_KEY, reason=str(error))
            return
        if record.token != last_writer.token:
            self._log.write('leases_outdated', token=record.token)
            return
        self._lapses_at = {
            worker_id: _lapses_at(record, left, now, last_writer)
            for worker_id, left in record.times_left.items()
        }
        if record.default_left is None:
            # A later term that has not written has extended leases only briefly.
            ended_at = last_writer.ended_at or now
            lapses_at = ended_at + time_to_lapse(self._lease_limit)
            self._default_lapses_at = max(lapses_at, now + BRIEF_LAPSE)
        else:
            self._default_lapses_at = _lapses_at(
                record, record.default_left, now, last_writer
            )
        self._log_record(record, now)

    def lapses_at(self, worker_id: WorkerId) -> timedelta:
        """Returns when the lease of a worker has certainly lapsed."""
        return self._lapses_at.get(worker_id, self._default_lapses_at)

    def times_left(self, now: timedelta) -> dict[WorkerId, timedelta]:
        """Returns the times until the leases named in the record have lapsed."""
        return {
            worker_id: lapses_at - now
            for worker_id, lapses_at in self._lapses_at.items()
        }

    def default_left(self, now: timedelta) -> timedelta:
        """Returns the time until the leases of all other workers have lapsed."""
        return self._default_lapses_at - now

    def _log_record(self, record: LeaseRecord, now: timedelta) -> None:
        longest = max(self._lapses_at.values(), default=now) - now
        self._log.write(
            'leases_inherited',
            token=record.token,
            workers=len(self._lapses_at),
            longest_left_s=longest.total_seconds(),
            default_left_s=self.default_left(now).total_seconds(),
            default_recorded=record.default_left is not None,
        )


def _lapses_at(
    record: LeaseRecord, left: timedelta, now: timedelta, last_writer: LastWriter
) -> timedelta:
    """Returns when a lease with a recorded time left has certainly lapsed."""
    if not left:
        return now
    lapses_at = now + left
    if record.term_age is not None:
        # The clocks of the two processes may differ in speed.
        age = record.term_age / (1 - CLOCK_DRIFT)
        lapses_at = min(lapses_at, last_writer.begun_at + age + left)
    # A later term that has not written may have extended the lease briefly.
    return max(lapses_at, now + BRIEF_LAPSE)
