"""A request to a service."""

from dataclasses import dataclass, field
from datetime import timedelta

from multidict import CIMultiDict

from chiveworks.base import EntryName, RequestId


@dataclass(frozen=True)
class Request:
    """One request on its way to an endpoint.

    Attributes:
        service: Service to reach.
        request_id: Id that the endpoint echoes.
        method: HTTP method.
        target: Path below the service with its query, as sent by the caller.
        deadline: Monotonic time at which the caller gives up.
        idempotent: Whether it may run more than once.
        headers: End-to-end headers.
        body: The complete body.
    """

    service: EntryName
    request_id: RequestId
    method: str
    target: str
    deadline: timedelta
    idempotent: bool = False
    headers: CIMultiDict[str] = field(default_factory=CIMultiDict)
    body: bytes = b''
