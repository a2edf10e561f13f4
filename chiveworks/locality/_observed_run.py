"""What is known about a run that occupies a worker."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from chiveworks.base import Resources
from chiveworks.locality._release import Release

#: Progress from which the speed of a run is extrapolated. Progress is reported in whole
#: percent, and at the beginning of a run the start-up is a large part of the time.
MIN_PERCENT: Final = 10
#: Minimum remaining time of a run as a share of its time so far. If real durations are
#: spread evenly (on a logarithmic scale) over half to twice the declared one, a run that
#: reaches the declared duration takes 0.44 of it longer and one at 1.5 times 0.16; a
#: share in between also suits the runs that exceed twice the declared duration.
OVERDUE_SHARE: Final = 0.25
#: Spread of an extrapolated end as a share of the remaining time.
PROGRESS_SPREAD: Final = 0.25
_COMPLETE: Final = 100


@dataclass(frozen=True, slots=True)
class ObservedRun:
    """State of a run as last reported.

    Attributes:
        demand: Resources that the run occupies.
        duration: Expected duration, from the declared one, the lateness of the worker
            and the factor of a remote run.
        started_at: When the run started; None if that is not known yet.
        percent: Progress that was last reported.
        progressed_at: When it was reported.
        began_at_zero: Whether the progress was 0 at `started_at`. It may not have been
            for runs that resumed from a checkpoint or were adopted from another leader.
    """

    demand: Resources
    duration: timedelta
    started_at: timedelta | None
    percent: int = 0
    progressed_at: timedelta = timedelta()
    began_at_zero: bool = True

    def release(self, now: timedelta) -> Release:
        """Returns when the run is expected to free its resources.

        A missing report makes the expected end later, never earlier.
        """
        started_at = now if self.started_at is None else self.started_at
        ends_at = started_at + self.duration
        spread_share = 1.0
        worked = self.progressed_at - started_at
        if self.percent >= MIN_PERCENT and self.began_at_zero and worked > timedelta():
            ends_at = started_at + worked * _COMPLETE / self.percent
            spread_share = PROGRESS_SPREAD
        elif self.percent and self.started_at is not None:
            left = self.duration * (_COMPLETE - self.percent) / _COMPLETE
            ends_at = self.progressed_at + left
        earliest = now + OVERDUE_SHARE * (now - started_at)
        if ends_at < earliest:
            return Release(earliest, earliest - now, self.demand)
        return Release(ends_at, spread_share * (ends_at - now), self.demand)
