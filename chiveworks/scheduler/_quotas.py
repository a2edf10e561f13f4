"""Tenant quotas of one shard, from the catalogue."""

from collections import defaultdict

from chiveworks.base import TenantName, ZoneName
from chiveworks.catalogue import CatalogueReplica
from chiveworks.placement import TaskQueue


class Quotas:
    """Sets this shard's equal part of each tenant's quota.

    The zones in service share a quota evenly, so that no zone has to ask another
    one before it starts a task. A part is never smaller than the largest task of
    the tenant's entries with a quota, because the queue never starts a task that by
    itself exceeds its tenant's part.
    """

    def __init__(
        self,
        replica: CatalogueReplica,
        queue: TaskQueue,
        zones: tuple[ZoneName, ...],
    ) -> None:
        self._replica = replica
        self._queue = queue
        self._zones = zones
        self._seen_changes = -1
        self._limited_tenants: set[TenantName] = set()

    def refresh(self) -> None:
        """Recomputes the quotas if the configuration has changed."""
        if self._replica.change_count == self._seen_changes:
            return
        self._seen_changes = self._replica.change_count
        parts = self._quota_parts()
        for tenant in self._limited_tenants - parts.keys():
            self._queue.set_quota(tenant, None)
        for tenant, part in parts.items():
            self._queue.set_quota(tenant, part)
        self._limited_tenants = set(parts)

    def _quota_parts(self) -> dict[TenantName, int]:
        totals: dict[TenantName, int] = defaultdict(int)
        largest: dict[TenantName, int] = defaultdict(int)
        for entry in self._replica.entries():
            if entry.quota_cpu_millicores:
                totals[entry.tenant] += entry.quota_cpu_millicores
                largest[entry.tenant] = max(largest[entry.tenant], entry.cpu_millicores)
        in_service = sum(map(self._replica.is_in_service, self._zones))
        return {
            tenant: max(total // max(in_service, 1), largest[tenant])
            for tenant, total in totals.items()
        }
