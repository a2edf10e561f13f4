"""Violation that a state machine raises."""

from tests.promises.promise import Promise


class BrokenPromiseError(AssertionError):
    """A promise did not hold."""

    def __init__(self, promise: Promise, message: str) -> None:
        super().__init__(message)
        self.promise = promise
