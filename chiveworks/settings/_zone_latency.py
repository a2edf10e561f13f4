"""An availability zone as seen from this one."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from chiveworks.base import ZoneName


class ZoneLatency(BaseModel):
    """A zone and the time of a round trip to it."""

    model_config = ConfigDict(frozen=True, strict=True, extra='forbid')

    name: Annotated[ZoneName, Field(min_length=1)]
    latency_ms: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 0
