"""Exception for a failed attempt."""

from chiveworks.routing._attempt_end import AttemptEnd


class AttemptError(Exception):
    """An attempt to send a request failed.

    Not a subclass of the aiohttp errors, because aiohttp resends a request by
    itself after such an error on a broken keep-alive connection.
    """

    def __init__(self, end: AttemptEnd, detail: str = '') -> None:
        super().__init__(detail or end.value)
        self.end = end
        self.detail = detail
