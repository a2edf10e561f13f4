"""Stand-in for the platform's metadata store, in memory."""

from standins.metadata._faults import MetadataFaults
from standins.metadata._memory_metadata_store import MemoryMetadataStore

__all__ = ('MemoryMetadataStore', 'MetadataFaults')
