"""Limits on requests to an entry process."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

_PositiveInt = Annotated[int, Field(gt=0)]


class Limits(BaseModel):
    """Limits that an entry process applies before it routes a request.

    Attributes:
        body_bytes: Maximum size of a request body.
        header_bytes: Maximum total size of a request's headers.
        concurrency: Maximum number of concurrent requests of all tenants.
        rate_per_s: Maximum requests per second of one tenant to a service whose
            catalogue entry sets no rate; 0 for no limit.
        read_timeout_ms: Maximum time for the client to send the body of a request.
        limiter: Whether the concurrency limit adapts or is fixed.
        default_deadline_ms: Default and maximum deadline of requests to a service
            whose catalogue entry sets none.
    """

    model_config = ConfigDict(frozen=True, strict=True, extra='forbid')

    body_bytes: _PositiveInt = 8 << 20
    header_bytes: _PositiveInt = 16 << 10
    concurrency: _PositiveInt = 1024
    rate_per_s: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 0
    read_timeout_ms: _PositiveInt = 10_000
    limiter: Literal['adaptive', 'fixed'] = 'adaptive'
    default_deadline_ms: _PositiveInt = 30_000
