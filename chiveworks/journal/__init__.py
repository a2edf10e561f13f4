"""Durable journal of a shard's state changes in the platform's store."""

from chiveworks.journal._journal import (
    SNAPSHOT_PART_BYTES,
    SNAPSHOT_PERIOD_RECORDS,
    Journal,
)
from chiveworks.journal._journal_ownership_lost import JournalOwnershipLost
from chiveworks.journal._keys import SLOT_COUNT, owner_key, slot_key
from chiveworks.journal._record import JournalRecord
from chiveworks.journal._replay import Replay

__all__ = (
    'SNAPSHOT_PART_BYTES',
    'SLOT_COUNT',
    'SNAPSHOT_PERIOD_RECORDS',
    'Journal',
    'JournalOwnershipLost',
    'JournalRecord',
    'Replay',
    'owner_key',
    'slot_key',
)
