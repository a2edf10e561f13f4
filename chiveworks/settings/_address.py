"""Address on which a process listens."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field


class ListenAddress(BaseModel):
    """IP address and port; port 0 selects any free port, for tests."""

    model_config = ConfigDict(frozen=True, strict=True, extra='forbid')

    host: Annotated[str, Field(min_length=1)] = '127.0.0.1'
    port: Annotated[int, Field(ge=0, le=65535)]
