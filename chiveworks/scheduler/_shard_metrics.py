"""Interface for metrics of a shard."""

from typing import Protocol

from chiveworks.base import TenantName


class ShardMetrics(Protocol):
    """Records metrics of a shard's scheduling."""

    def record_queue_length(self, queue: str, length: int) -> None:
        """Records the current length of a queue."""

    def count_eviction(self, tenant: TenantName, cause: str) -> None:
        """Counts an eviction of one of a tenant's tasks."""
