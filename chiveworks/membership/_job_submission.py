"""Request that registers a job."""

from dataclasses import dataclass

from chiveworks.base import EntryName, TenantName


@dataclass(frozen=True, slots=True)
class JobSubmission:
    """A job as a caller submits it; each payload becomes one task.

    Attributes:
        tenant: Tenant that submits the job.
        key: Idempotency key of the caller, unique per tenant.
        entry: Catalogue entry that describes the tasks.
        payloads: One payload per task.
    """

    tenant: TenantName
    key: str
    entry: EntryName
    payloads: tuple[str, ...]
