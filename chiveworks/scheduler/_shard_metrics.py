"""Measurements of a shard."""

from typing import Protocol

from chiveworks.base import TenantName


class ShardMetrics(Protocol):
    """Receives the measurements of a shard's scheduling."""

    def record_queue_length(self, queue: str, length: int) -> None:
        """Records the present length of a queue."""

    def count_eviction(self, tenant: TenantName, cause: str) -> None:
        """Counts an evicted task."""
