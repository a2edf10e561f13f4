"""Settings of task placement."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator
from pydantic_core import PydanticCustomError

_Weight = Annotated[float, Field(ge=0, allow_inf_nan=False)]


class PlacementWeights(BaseModel):
    """Relative weights of the placement objectives."""

    model_config = ConfigDict(frozen=True, strict=True, extra='forbid')

    tail_latency: _Weight = 1
    batch_throughput: _Weight = 1
    zone_work: _Weight = 1

    @model_validator(mode='after')
    def _check_sum(self) -> 'PlacementWeights':
        if not self.tail_latency + self.batch_throughput + self.zone_work:
            raise PydanticCustomError(
                'impossible', 'expected at least one weight above 0'
            )
        return self


class PlacementSettings(BaseModel):
    """Settings for choosing a worker for a task."""

    model_config = ConfigDict(frozen=True, strict=True, extra='forbid')

    policy: Literal['interference_aware', 'first_fit'] = 'interference_aware'
    queue_order: Literal['deadline_fair', 'fifo'] = 'deadline_fair'
    weights: PlacementWeights = PlacementWeights()
    # Slowdown of a service, as reported by workers, above which batch tasks on the
    # same worker are throttled and eventually evicted.
    tolerated_slowdown: Annotated[float, Field(ge=1, allow_inf_nan=False)] = 1.5
