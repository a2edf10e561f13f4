"""Table of the known shard owners."""

from collections.abc import Iterable

from xxhash import xxh3_64

from chiveworks.base import ZoneName
from chiveworks.membership._owner_record import OwnerRecord


class OwnerTable:
    """Maps each zone to its shard owner; the record with the highest epoch wins."""

    def __init__(self) -> None:
        self._records: dict[ZoneName, OwnerRecord] = {}
        self._digest = _digest(())

    @property
    def digest(self) -> int:
        """Hash of all records; equal tables have equal digests."""
        return self._digest

    def find(self, zone: ZoneName) -> OwnerRecord | None:
        """Returns the last known owner of a zone's shard."""
        return self._records.get(zone)

    def records(self) -> tuple[OwnerRecord, ...]:
        """Returns all records ordered by zone."""
        return tuple(sorted(self._records.values()))

    def update(self, records: Iterable[OwnerRecord]) -> tuple[OwnerRecord, ...]:
        """Adds the records that are newer than those held.

        Returns:
            The records that were newer.
        """
        newer = []
        for record in records:
            held = self._records.get(record.zone)
            if held is None or held < record:
                self._records[record.zone] = record
                newer.append(record)
        if newer:
            self._digest = _digest(self.records())
        return tuple(newer)


def _digest(records: tuple[OwnerRecord, ...]) -> int:
    state = xxh3_64()
    for record in records:
        line = (record.zone, str(record.epoch), record.owner, record.peer_address, '')
        state.update('\0'.join(line).encode())
    return state.intdigest()
