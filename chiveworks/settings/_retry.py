"""Limits on retries."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field


class RetrySettings(BaseModel):
    """Limits on retries of requests.

    Attributes:
        budget_share: Retries allowed per request, on average.
        attempts: Maximum attempts of one request, including the first.
    """

    model_config = ConfigDict(frozen=True, strict=True, extra='forbid')

    budget_share: Annotated[float, Field(ge=0, le=1)] = 0.1
    attempts: Annotated[int, Field(ge=1, le=10)] = 3
