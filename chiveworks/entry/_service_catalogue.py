"""What the request path needs from the catalogue replica."""

from typing import Protocol

from chiveworks.base import EntryName, ServiceClass, TenantName


class ServiceEntry(Protocol):
    """An entry's properties and limits as far as requests are concerned.

    A limit of 0 stands for none.
    """

    @property
    def tenant(self) -> TenantName:
        """Tenant that is charged when the caller names none."""

    @property
    def service_class(self) -> ServiceClass:
        """Class of the entry."""

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""

    @property
    def deadline_ms(self) -> int:
        """Deadline of requests that bring none; the longest one allowed."""

    @property
    def rate_per_s(self) -> float:
        """Requests a second per tenant."""

    @property
    def concurrency(self) -> int:
        """Requests in progress per tenant."""


class ServiceCatalogue(Protocol):
    """The catalogue as the request path sees it."""

    def entry(self, name: EntryName) -> ServiceEntry | None:
        """Returns an entry, or None when there is none of that name."""
