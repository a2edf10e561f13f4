"""Latency to an availability zone."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from chiveworks.base import ZoneName


class ZoneLatency(BaseModel):
    """An availability zone and the round-trip time to it."""

    model_config = ConfigDict(frozen=True, strict=True, extra='forbid')

    name: Annotated[ZoneName, Field(min_length=1)]
    latency_ms: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 0
