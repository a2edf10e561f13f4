"""When this process has learned of leadership terms."""

from datetime import timedelta
from typing import Final

from chiveworks.base import Clock

#: Number of terms that are kept. Only the few before a new term are asked for.
KEPT_TERMS: Final = 64


class TermHistory:
    """Times at which this process has seen terms in the store, by leader value.

    A term began no later than it was seen, and an earlier term had ended by then. The
    times relate what the process of another term has stored to the clock of this one.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen_at: dict[str, timedelta] = {}

    def observe(self, leader_value: str) -> None:
        """Takes note of the leader value of a term, which the store holds."""
        self._seen_at.setdefault(leader_value, self._clock.monotonic())
        if len(self._seen_at) > KEPT_TERMS:
            self._seen_at.pop(next(iter(self._seen_at)))

    def seen_at(self, leader_value: str) -> timedelta | None:
        """Returns when a term was first seen; None if it was not."""
        return self._seen_at.get(leader_value)

    def succeeded_at(self, leader_value: str) -> timedelta | None:
        """Returns when the term after the given one was first seen.

        Returns:
            None if the given term was not seen, or none after it.
        """
        begun_at = self._seen_at.get(leader_value)
        if begun_at is None:
            return None
        values = list(self._seen_at)
        later = values[values.index(leader_value) + 1 :]
        return self._seen_at[later[0]] if later else None
