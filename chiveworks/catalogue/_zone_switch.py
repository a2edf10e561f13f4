"""Operators' switch of an availability zone."""

from datetime import datetime

from pydantic import BaseModel, ConfigDict

from chiveworks.catalogue._zone_state import ZoneState


class ZoneSwitch(BaseModel):
    """State of a zone, who set it, why and when."""

    model_config = ConfigDict(frozen=True, strict=True, extra='forbid')

    state: ZoneState
    author: str
    reason: str = ''
    since: datetime
