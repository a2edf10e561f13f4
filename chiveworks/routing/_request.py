"""A request to a service."""

from dataclasses import dataclass, field
from datetime import timedelta

from multidict import CIMultiDict

from chiveworks.base import EntryName, RequestId


@dataclass(frozen=True)
class Request:
    """A request to be sent to an endpoint of a service.

    Attributes:
        service: Requested service.
        request_id: Id that the endpoint returns with the response.
        method: HTTP method.
        target: Path below the service and query string, as sent by the caller.
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
