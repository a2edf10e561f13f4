"""Stand-in for the platform's key-value store."""

from standins.store._app import create_app
from standins.store._engine import StoreEngine
from standins.store._faults import StoreFaults
from standins.store._memory_store import MemoryStore
from standins.store._rejection import Rejection

__all__ = ('MemoryStore', 'Rejection', 'StoreEngine', 'StoreFaults', 'create_app')
