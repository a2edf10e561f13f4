"""Makes sure which incarnation of a server executes a request."""

from collections.abc import Callable
from dataclasses import dataclass

from chiveworks.base._http_response import HttpResponse

_OK = 200
#: Sent by a server that is not the one a request is meant for.
_MISDIRECTED = 421


@dataclass(frozen=True, slots=True)
class PeerCheck:
    """Harmless request whose response names the incarnation at the other end.

    It is sent before the actual request on a connection on which the expected
    incarnation has not responded yet. A connection ends with the process that accepted
    it, so that later requests on it reach the same incarnation or none. An address or
    an id may belong to the next incarnation by the time at which a request arrives.

    Attributes:
        expected: Incarnation that may execute the request.
        path: Path of the harmless request, a POST.
        body: Body of the harmless request.
        identify: Returns the incarnation that a response names; None if it names none.
        answers_request: Whether the harmless request takes the place of the actual one.
    """

    expected: int
    path: str
    body: bytes
    identify: Callable[[HttpResponse], int | None]
    answers_request: bool = False

    def answer(
        self, response: HttpResponse, peer_id: int | None
    ) -> HttpResponse | None:
        """Returns what answers the request after a check; None if it is to be sent.

        Args:
            response: Response to the harmless request.
            peer_id: Incarnation that it names.
        """
        if self.answers_request:
            return response
        if peer_id == self.expected:
            return None
        return HttpResponse(_MISDIRECTED, b'') if response.status == _OK else response
