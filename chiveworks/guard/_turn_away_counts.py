"""Counts of clients that were turned away."""

from collections import Counter
from datetime import timedelta
from typing import Final

from chiveworks.guard._turn_away_reason import TurnAwayReason

#: A flood costs at most one log line in this time.
_REPORT_INTERVAL: Final = timedelta(seconds=1)


class TurnAwayCounts:
    """Counts of clients that were turned away, and when to log them.

    The load that it handles: thousands of refusals a second.

    Attributes:
        totals: Number of clients by reason since the start.
    """

    def __init__(self) -> None:
        self.totals: Counter[TurnAwayReason] = Counter()
        self._unreported: Counter[TurnAwayReason] = Counter()
        self._reported_at: timedelta | None = None

    def add(self, reason: TurnAwayReason) -> None:
        """Counts a client."""
        self.totals[reason] += 1
        self._unreported[reason] += 1

    def by_name(self) -> dict[str, int]:
        """Returns the totals by the name of the reason."""
        return {reason.value: count for reason, count in self.totals.items()}

    def take_report(self, now: timedelta) -> dict[str, int]:
        """Returns the counts since the last report, empty if none is due."""
        recent = (
            self._reported_at is not None and now - self._reported_at < _REPORT_INTERVAL
        )
        if recent or not self._unreported:
            return {}
        self._reported_at = now
        report = {reason.value: count for reason, count in self._unreported.items()}
        self._unreported.clear()
        return report
