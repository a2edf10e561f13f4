"""Request to register a job."""

from dataclasses import dataclass

from chiveworks.base import EntryName, TenantName


@dataclass(frozen=True, slots=True)
class JobSubmission:
    """A job as a caller submits it; each payload becomes one task.

    Attributes:
        tenant: The customer.
        key: The caller's key, unique per tenant.
        entry: Catalogue entry that describes the tasks.
        payloads: Payload of each task.
    """

    tenant: TenantName
    key: str
    entry: EntryName
    payloads: tuple[str, ...]
