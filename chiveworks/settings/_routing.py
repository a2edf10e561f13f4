"""Settings of request routing."""

from typing import Literal

from pydantic import BaseModel, ConfigDict


class RoutingSettings(BaseModel):
    """Settings for choosing an endpoint for a request."""

    model_config = ConfigDict(frozen=True, strict=True, extra='forbid')

    policy: Literal['two_choices', 'round_robin'] = 'two_choices'
