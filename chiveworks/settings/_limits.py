"""Limits on callers' requests."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

_AboveZero = Annotated[int, Field(gt=0)]


class Limits(BaseModel):
    """Limits that one entry process applies before it routes a request.

    Attributes:
        body_bytes: Largest body of a request.
        header_bytes: Largest sum of a request's headers.
        concurrency: Requests in progress, of all tenants together.
        rate_per_s: Requests a second of one tenant; 0 for no limit.
        read_timeout_ms: Longest wait for the caller to send its request.
        limiter: How the concurrency is limited.
        default_deadline_ms: Deadline of a request that names none.
    """

    model_config = ConfigDict(frozen=True, strict=True, extra='forbid')

    body_bytes: _AboveZero = 8 << 20
    header_bytes: _AboveZero = 16 << 10
    concurrency: _AboveZero = 1024
    rate_per_s: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 0
    read_timeout_ms: _AboveZero = 10_000
    limiter: Literal['adaptive', 'fixed'] = 'adaptive'
    default_deadline_ms: _AboveZero = 30_000
