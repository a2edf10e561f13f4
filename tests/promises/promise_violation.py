"""Error for a violation that a state machine finds."""

from tests.promises.promise import Promise


class PromiseViolationError(AssertionError):
    """A promise was violated."""

    def __init__(self, promise: Promise, message: str) -> None:
        super().__init__(message)
        self.promise = promise
