"""Switch by which operators take an availability zone out of service."""

from datetime import datetime

from pydantic import BaseModel, ConfigDict

from chiveworks.catalogue._zone_state import ZoneState


class ZoneSwitch(BaseModel):
    """State of a zone, with who set it, why and when."""

    model_config = ConfigDict(frozen=True, strict=True, extra='forbid')

    state: ZoneState
    author: str
    reason: str = ''
    since: datetime
