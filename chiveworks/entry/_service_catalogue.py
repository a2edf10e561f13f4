"""Interface of the catalogue for the request path."""

from typing import Protocol

from chiveworks.base import EntryName, ServiceClass, TenantName


class ServiceEntry(Protocol):
    """Properties and limits of a catalogue entry that apply to requests.

    A value of 0 means the limit in `ServiceSettings` for `deadline_ms` and `rate_per_s`,
    and no limit for `concurrency`.
    """

    @property
    def tenant(self) -> TenantName:
        """Tenant of requests that do not name one."""

    @property
    def service_class(self) -> ServiceClass:
        """Class of the entry: latency-critical or batch."""

    @property
    def idempotent(self) -> bool:
        """Whether a request may safely run more than once."""

    @property
    def deadline_ms(self) -> int:
        """Default and maximum deadline of requests."""

    @property
    def rate_per_s(self) -> float:
        """Maximum requests per second and tenant."""

    @property
    def concurrency(self) -> int:
        """Maximum requests in progress per tenant."""


class ServiceCatalogue(Protocol):
    """Catalogue lookups of the request path."""

    def entry(self, name: EntryName) -> ServiceEntry | None:
        """Returns the entry of this name, or None if it does not exist."""
