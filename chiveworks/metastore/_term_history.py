"""When this process has learned of leadership terms."""

from datetime import timedelta
from typing import Final

from chiveworks.base import Clock, Epoch
from chiveworks.metastore._last_writer import LastWriter
from chiveworks.metastore._metadata_store import StoreItem
from chiveworks.metastore._sequence import decode_sequence

#: Number of terms that are kept. Only the few before a new term are asked for.
KEPT_TERMS: Final = 64
#: Share by which the clocks of two processes may differ in speed.
CLOCK_DRIFT: Final = 0.02


class TermHistory:
    """Times at which this process has seen terms in the store, by fencing token.

    A term began no later than it was seen, and all earlier ones had ended by then. Each
    acquisition of the leadership stores what its process knows of the last term that has
    written, so that a process that has just started knows it as well.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen_at: dict[Epoch, timedelta] = {}

    def observe(self, token: Epoch) -> None:
        """Takes note of a term, whose leader key is in the store."""
        self._seen_at.setdefault(token, self._clock.monotonic())
        if len(self._seen_at) > KEPT_TERMS:
            self._seen_at.pop(min(self._seen_at))

    def last_writer(self, sequence: StoreItem) -> LastWriter:
        """Returns the last term that has written, from the sequence key just read."""
        now = self._clock.monotonic()
        state = decode_sequence(sequence)
        since_begin = self._time_since(state.token, now)
        if state.acquired_by is None:
            # The term that is about to begin is the first one after it.
            return LastWriter(state.token, now - since_begin, now)
        since_acquisition = self._time_since(state.acquired_by, now)
        stored_begin = state.since_begin * (1 - CLOCK_DRIFT) + since_acquisition
        begun_at = now - max(since_begin, stored_begin)
        if state.since_end is None:
            return LastWriter(state.token, begun_at)
        later = min(
            (token for token in self._seen_at if token > state.token),
            default=state.acquired_by,
        )
        stored_end = state.since_end * (1 - CLOCK_DRIFT) + since_acquisition
        since_end = max(self._time_since(later, now), stored_end)
        return LastWriter(state.token, begun_at, now - since_end)

    def _time_since(self, token: Epoch, now: timedelta) -> timedelta:
        return now - self._seen_at.get(token, now)
