"""An endpoint's answer."""

from dataclasses import dataclass

from multidict import CIMultiDict

from chiveworks.routing._response_stream import ResponseStream


@dataclass(frozen=True)
class Response:
    """An answer that is complete, or the start of one whose rest is streamed.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers.
        peer: Endpoint that answered.
        body: The complete body; its first part when `rest` is given.
        rest: Remaining parts of a large body. It raises `AttemptError` when the
            endpoint does not complete the answer. The receiver iterates to the end
            or calls `aclose`.
        length: Declared length of the whole body; None when it is not known.
    """

    status: int
    headers: CIMultiDict[str]
    peer: str
    body: bytes
    rest: ResponseStream | None = None
    length: int | None = None
