"""Client of the platform's key-value store."""

from chiveworks.store._conflict import StoreConflict
from chiveworks.store._entry import StoreEntry
from chiveworks.store._http_store import HttpStore
from chiveworks.store._read import StoreRead
from chiveworks.store._retention_lease import RetentionLease
from chiveworks.store._store import Store
from chiveworks.store._watch_batch import WatchBatch
from chiveworks.store._watch_event import WatchEvent

__all__ = (
    'HttpStore',
    'RetentionLease',
    'Store',
    'StoreConflict',
    'StoreEntry',
    'StoreRead',
    'WatchBatch',
    'WatchEvent',
)
