"""Body of a job submission."""

import json
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from chiveworks.base import EntryName, TenantName
from chiveworks.membership import JobSubmission

#: Job ids begin with the tenant and a dot, so a tenant's name has none here.
_TENANT_PATTERN = '^[a-z0-9][a-z0-9_-]{0,62}$'
#: As in the catalogue.
_ENTRY_PATTERN = '^[a-z0-9][a-z0-9._-]{0,62}$'
#: A job's record holds payloads and results and must fit one value of the store.
_MAX_PAYLOAD_BYTES = 16_384
_MAX_TOTAL_PAYLOAD_BYTES = 262_144
_MAX_TASKS = 1000

_Payload = Annotated[str, Field(max_length=_MAX_PAYLOAD_BYTES)]


class JobRequest(BaseModel):
    """A job with one task per payload."""

    model_config = ConfigDict(strict=True, extra='forbid')

    tenant: Annotated[str, Field(pattern=_TENANT_PATTERN)]
    key: Annotated[str, Field(min_length=1, max_length=200)]
    entry: Annotated[str, Field(pattern=_ENTRY_PATTERN)]
    payloads: Annotated[list[_Payload], Field(min_length=1, max_length=_MAX_TASKS)]

    def check_size(self) -> None:
        """Raises ValueError when the payloads together are too large."""
        total_bytes = sum(len(json.dumps(payload)) for payload in self.payloads)
        if total_bytes > _MAX_TOTAL_PAYLOAD_BYTES:
            raise ValueError(
                f'payloads hold {total_bytes} bytes, at most {_MAX_TOTAL_PAYLOAD_BYTES} fit'
            )

    def submission(self) -> JobSubmission:
        """Returns the submission for the shard owner."""
        return JobSubmission(
            TenantName(self.tenant),
            self.key,
            EntryName(self.entry),
            tuple(self.payloads),
        )
