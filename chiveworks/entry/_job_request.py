"""Request body of a job submission."""

import json
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from chiveworks.base import EntryName, TenantName
from chiveworks.membership import JobSubmission

#: Excludes dots because the first dot of a job id ends the tenant's name.
_TENANT_PATTERN = '^[a-z0-9][a-z0-9_-]{0,62}$'
#: Same pattern as in the catalogue.
_ENTRY_PATTERN = '^[a-z0-9][a-z0-9._-]{0,62}$'
#: A job's record with all payloads and results must fit into one store value.
_MAX_PAYLOAD_LENGTH = 16_384
_MAX_TOTAL_PAYLOAD_BYTES = 262_144
_MAX_TASKS = 1000

_Payload = Annotated[str, Field(max_length=_MAX_PAYLOAD_LENGTH)]


class JobRequest(BaseModel):
    """A job with one task per payload."""

    model_config = ConfigDict(strict=True, extra='forbid')

    tenant: Annotated[str, Field(pattern=_TENANT_PATTERN)]
    key: Annotated[str, Field(min_length=1, max_length=200)]
    entry: Annotated[str, Field(pattern=_ENTRY_PATTERN)]
    payloads: Annotated[list[_Payload], Field(min_length=1, max_length=_MAX_TASKS)]

    def check_size(self) -> None:
        """Checks the total size of the payloads, encoded as JSON.

        Raises:
            ValueError: The payloads are too large.
        """
        total_bytes = sum(len(json.dumps(payload)) for payload in self.payloads)
        if total_bytes > _MAX_TOTAL_PAYLOAD_BYTES:
            raise ValueError(
                f'payloads have {total_bytes} bytes in total; '
                f'the limit is {_MAX_TOTAL_PAYLOAD_BYTES} bytes'
            )

    def submission(self) -> JobSubmission:
        """Returns the submission to send to the shard owner."""
        return JobSubmission(
            TenantName(self.tenant),
            self.key,
            EntryName(self.entry),
            tuple(self.payloads),
        )
