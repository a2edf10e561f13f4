"""In-memory stand-in for the platform's metadata store."""

from standins.metadata._faults import MetadataFaults
from standins.metadata._memory_metadata_store import MemoryMetadataStore

__all__ = ('MemoryMetadataStore', 'MetadataFaults')
