"""The last leadership term that has written to the store."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.base import Epoch


@dataclass(frozen=True, slots=True)
class LastWriter:
    """The last term that has written, on the clock of the process that follows it.

    Attributes:
        token: Fencing token of the term; 0 if none has written.
        begun_at: Time by which the term had begun.
        ended_at: Time by which another term had begun, so that it had ended; None if
            that is unknown.
    """

    token: Epoch
    begun_at: timedelta
    ended_at: timedelta | None = None
