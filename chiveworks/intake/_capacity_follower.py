"""Follows what the leader publishes about the workers."""

from chiveworks.capacity import CapacityRecord, decode_capacity
from chiveworks.events import EventLog
from chiveworks.intake._capacity_check import CapacityCheck
from chiveworks.metastore import CAPACITY_KEY, LEADER_KEY, LEADER_PREFIX


class CapacityFollower:
    """Keeps a check up to date from the replica of the election.

    Args:
        check: Check that uses the record.
        log: Event log for records that cannot be read.
    """

    def __init__(self, check: CapacityCheck, log: EventLog) -> None:
        self._check = check
        self._log = log

    def update(self, name: str, entry: str | None) -> None:
        """Applies a change under the prefix of the leader; None removes the entry."""
        key = LEADER_PREFIX + name
        if key == LEADER_KEY:
            self._check.leader_value = entry
        elif key == CAPACITY_KEY:
            self._check.record = None if entry is None else self._decode(entry)

    def _decode(self, stored: str) -> CapacityRecord | None:
        try:
            return decode_capacity(stored)
        except ValueError as error:
            self._log.write('entry_skipped', key=CAPACITY_KEY, reason=str(error))
        return None
