"""In-memory stand-in for workers that run tasks."""

from standins.runners._memory_runner import LEASE_LIMIT, MemoryRunner

__all__ = ('LEASE_LIMIT', 'MemoryRunner')
