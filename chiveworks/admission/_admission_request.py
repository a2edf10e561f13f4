"""Properties of a request that admission control uses."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import EntryName, ServiceClass, TenantName


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A request to be admitted, with the limits that apply to it.

    Attributes:
        tenant: Tenant whose limits the request counts against.
        service: Requested service.
        service_class: Class of the service; batch requests are shed first.
        deadline: Monotonic time at which the caller gives up.
        rate_per_s: Rate limit of the tenant's requests to the service; 0 for none.
        concurrency: Limit of the tenant's requests to the service that are in progress
            or waiting; 0 for none.
    """

    tenant: TenantName
    service: EntryName
    service_class: ServiceClass
    deadline: timedelta
    rate_per_s: float = 0
    concurrency: int = 0
