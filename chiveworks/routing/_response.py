"""Response of an endpoint."""

from dataclasses import dataclass

from multidict import CIMultiDict

from chiveworks.routing._response_stream import ResponseStream


@dataclass(frozen=True)
class Response:
    """A complete response, or the start of one whose remaining body is streamed.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        peer: Endpoint that responded.
        body: The complete body, or its first part if `rest` is given.
        rest: Remaining parts of a large body. Raises `AttemptError` if the endpoint
            does not complete the response. The receiver must iterate to the end or
            call `aclose`.
        length: Declared length of the whole body; None if unknown.
    """

    status: int
    headers: CIMultiDict[str]
    peer: str
    body: bytes
    rest: ResponseStream | None = None
    length: int | None = None
