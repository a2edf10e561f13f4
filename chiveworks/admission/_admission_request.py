"""A request as admission sees it."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import EntryName, ServiceClass, TenantName


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Who asks for what, within which limits.

    Attributes:
        tenant: Tenant that is charged.
        service: Service asked for.
        service_class: Batch entries are shed first.
        deadline: Monotonic time at which the caller gives up.
        rate_per_s: Limit of the tenant's requests to the service; 0 for none.
        concurrency: Limit of its requests in progress; 0 for none.
    """

    tenant: TenantName
    service: EntryName
    service_class: ServiceClass
    deadline: timedelta
    rate_per_s: float = 0
    concurrency: int = 0
