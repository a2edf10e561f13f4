"""A failed attempt as an exception."""

from chiveworks.routing._attempt_end import AttemptEnd


class AttemptError(Exception):
    """Ends an attempt.

    It is no subclass of the library's errors: those make the library send a
    request again by itself when a kept-alive connection breaks.
    """

    def __init__(self, end: AttemptEnd, detail: str = '') -> None:
        super().__init__(detail or end.value)
        self.end = end
        self.detail = detail
