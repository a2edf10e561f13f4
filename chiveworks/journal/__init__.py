"""The durable record of a shard's state in the platform's store."""

from chiveworks.journal._journal import PART_BYTES, SNAPSHOT_PERIOD, Journal
from chiveworks.journal._journal_ownership_lost import JournalOwnershipLost
from chiveworks.journal._keys import SLOT_COUNT, owner_key, slot_key
from chiveworks.journal._record import JournalRecord
from chiveworks.journal._replay import Replay

__all__ = (
    'PART_BYTES',
    'SLOT_COUNT',
    'SNAPSHOT_PERIOD',
    'Journal',
    'JournalOwnershipLost',
    'JournalRecord',
    'Replay',
    'owner_key',
    'slot_key',
)
