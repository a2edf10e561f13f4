"""An entry of the catalogue."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator
from pydantic_core import PydanticCustomError

from chiveworks.base import EntryName, Resources, ServiceClass, TenantName
from chiveworks.catalogue._priority import Priority

#: Names are used in store keys and URL paths.
_NAME_PATTERN = '^[a-z0-9][a-z0-9._-]{0,62}$'

_NonNegativeInt = Annotated[int, Field(ge=0)]
_PositiveInt = Annotated[int, Field(gt=0)]


class CatalogueEntry(BaseModel):
    """A service or a type of batch work, with its owner and limits.

    A limit of 0 means "no limit" for `concurrency`, `response_target_ms` and
    `quota_cpu_millicores`. For `rate_per_s`, it means the limit in the settings of the
    entry process.

    Attributes:
        name: Unique name; request paths of a service contain it.
        owner: Team or person to contact.
        tenant: Customer on whose behalf the work runs.
        service_class: Latency-critical service or batch work.
        idempotent: Whether running a task twice has the same effect as once.
        can_checkpoint: Whether evicted work resumes from its last checkpoint.
        kind: Program that workers start; the entry's name if empty.
        cpu_millicores: CPU per task, in thousandths of a core.
        memory_bytes: Memory per task.
        accelerators: Accelerators per task.
        slots: Requests that one endpoint serves concurrently.
        connections: Connections that one endpoint accepts.
        rate_per_s: Requests per second admitted for the tenant.
        concurrency: Concurrent requests admitted for the tenant.
        deadline_ms: Default and maximum deadline of requests.
        retry_limit: Maximum number of retries of an idempotent task after failures
            that workers report.
        response_target_ms: Target for the 99th percentile of response times.
        priority: Urgent work is placed before normal work.
        quota_cpu_millicores: Limit on the CPU allocated to all its tasks.
    """

    model_config = ConfigDict(frozen=True, strict=True, extra='forbid')

    name: Annotated[EntryName, Field(pattern=_NAME_PATTERN)]
    owner: Annotated[str, Field(min_length=1, max_length=200)]
    tenant: Annotated[TenantName, Field(pattern=_NAME_PATTERN)]
    service_class: ServiceClass
    idempotent: bool = False
    can_checkpoint: bool = False
    kind: Annotated[str, Field(max_length=200)] = ''
    cpu_millicores: _PositiveInt = 1000
    memory_bytes: _PositiveInt = 1 << 30
    accelerators: _NonNegativeInt = 0
    slots: _PositiveInt = 8
    connections: _PositiveInt = 64
    rate_per_s: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 0
    concurrency: _NonNegativeInt = 0
    deadline_ms: _PositiveInt = 30_000
    retry_limit: _NonNegativeInt = 3
    response_target_ms: _NonNegativeInt = 0
    priority: Priority = Priority.NORMAL
    quota_cpu_millicores: _NonNegativeInt = 0

    @property
    def resources(self) -> Resources:
        """Resources that one task of the entry requires."""
        return Resources(self.cpu_millicores, self.memory_bytes, self.accelerators)

    @model_validator(mode='after')
    def _check_quota(self) -> 'CatalogueEntry':
        if 0 < self.quota_cpu_millicores < self.cpu_millicores:
            raise PydanticCustomError(
                'impossible',
                'expected 0 or at least the {task} millicores of one task, got {quota}',
                {
                    'field': 'quota_cpu_millicores',
                    'task': self.cpu_millicores,
                    'quota': self.quota_cpu_millicores,
                },
            )
        return self
