"""Tells when the lease of a worker has certainly lapsed."""

from datetime import timedelta
from typing import Final

#: Share by which a worker's clock may run slow, as the platform's documentation states.
CLOCK_DRIFT: Final = 0.02
#: Covers rounding to milliseconds and the delay of the worker's timer.
LAPSE_SLACK: Final = timedelta(milliseconds=150)
#: Length of the extensions of a lease while it is frozen, and the time after which a
#: lease that was extended like this has certainly lapsed.
BRIEF_EXTENSION: Final = timedelta(milliseconds=500)
BRIEF_LAPSE: Final = BRIEF_EXTENSION / (1 - CLOCK_DRIFT) + LAPSE_SLACK


def time_to_lapse(length: timedelta) -> timedelta:
    """Returns the time after which a lease of the given length has certainly lapsed."""
    return length / (1 - CLOCK_DRIFT) + LAPSE_SLACK


class WorkerLease:
    """Estimate of a worker's clock and of the end of its lease.

    Args:
        limit: Longest lease that a worker grants.
        now: Time from which this scheduler tracks the lease; an earlier leader may
            have extended the lease until then.
        lapses_at: When the lease has certainly lapsed if it is not extended; by default
            a whole lease after `now`.

    Attributes:
        frozen: Whether the lease must not be extended but briefly.
        lost_at: When contact with the worker was last lost, or could not be made; None
            if that never happened.
    """

    def __init__(
        self, limit: timedelta, now: timedelta, lapses_at: timedelta | None = None
    ) -> None:
        self.frozen = False
        self.lost_at: timedelta | None = None
        self._limit = limit
        if lapses_at is None:
            lapses_at = now + time_to_lapse(limit)
        self._lapses_at = lapses_at
        self._clock: timedelta | None = None
        self._observed_at = now
        self._highest_end = timedelta()

    @property
    def known(self) -> bool:
        """Whether the worker's clock is known."""
        return self._clock is not None

    @property
    def extendable(self) -> bool:
        """Whether the lease can be extended in full."""
        return self.known and not self.frozen

    @property
    def observed_at(self) -> timedelta:
        """When the worker last responded; the start of the lease before that."""
        return self._observed_at

    def time_left(self, now: timedelta) -> timedelta:
        """Returns the time until the lease has certainly lapsed; negative after it."""
        return self._lapses_at - now

    def clock_at(self, now: timedelta) -> timedelta | None:
        """Returns the worker's clock at `now`; None if it is not known.

        The worker's clock may be ahead by the delay of its last response.
        """
        if self._clock is None:
            return None
        return self._clock + (now - self._observed_at)

    def observe_clock(self, clock: timedelta, now: timedelta) -> None:
        """Records the worker's clock from a response received at `now`."""
        self._clock = clock
        self._observed_at = now

    def restart(self, now: timedelta) -> None:
        """Discards the clock of the previous incarnation."""
        self._clock = None
        self._observed_at = now
        self._highest_end = timedelta()

    def extend(self, confirmed_at: timedelta) -> timedelta | None:
        """Returns the lease end to send; None if the lease cannot be extended.

        Args:
            confirmed_at: Latest known time at which no later term had begun. The next
                leader counts a whole lease from the beginning of its term.
        """
        if self.frozen:
            return None
        return self._extend(self._limit, confirmed_at)

    def extend_briefly(self, now: timedelta) -> timedelta | None:
        """Returns the end to send at `now` for a lease that may be frozen.

        A record for the next leader must give at least `BRIEF_LAPSE` for such a lease.
        """
        return self._extend(BRIEF_EXTENSION, now)

    def lapsed(self, now: timedelta) -> bool:
        """Whether the lease has certainly lapsed, so that all runs have ended."""
        return now >= self._lapses_at

    def _extend(self, length: timedelta, begin: timedelta) -> timedelta | None:
        if self._clock is None:
            return None
        end = self._clock + (begin - self._observed_at) + length
        self._highest_end = max(self._highest_end, end)
        left = self._highest_end - self._clock
        lapses_at = self._observed_at + time_to_lapse(left)
        self._lapses_at = max(self._lapses_at, lapses_at)
        return end
