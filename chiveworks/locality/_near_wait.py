"""Decides whether a task waits for a worker near its data or its group."""

from datetime import timedelta
from typing import Final

from chiveworks.locality._near_decision import NearDecision
from chiveworks.locality._near_reason import NearReason
from chiveworks.locality._near_request import NearRequest
from chiveworks.locality._near_slot import NearSlot

#: Interval at which the decision is made again while tasks wait. A wait that would have
#: to end earlier is not begun, so that it does not last longer than it pays off.
REVIEW_INTERVAL: Final = timedelta(milliseconds=50)
#: Default of `spread_share` in `NearWait`. In `benchmarks/bench_near_waits.py`, 0 costs
#: more on a hot rack and 1 gains less where a near worker becomes free soon.
SPREAD_SHARE: Final = 0.5
#: Largest factor, with which all times are within the range of `timedelta`.
MAX_FACTOR: Final = 100.0
_NO_TIME: Final = timedelta()


class NearWait:
    """Compares a remote run that can start now with a near run after a wait.

    The load that it handles: many jobs whose data is on one rack (a hot spot) want it
    at once. Each task takes the next slot that the tasks ahead of it leave, and those
    whose slot comes too late run elsewhere at once, so that the number of waiting tasks
    is bounded by what the rack can run before a wait stops paying off.

    A wait ends at the latest when it has lasted as long as the remote run of the task
    takes longer than the near one, by the declared duration. While a remote worker stays
    available, a task thus ends later than without a wait by no more than that.

    Args:
        remote_factor: Duration of a remote run as a multiple of a near one.
        spread_share: Share of the spread of a near start that must pay off as well.
    """

    def __init__(
        self, remote_factor: float, spread_share: float = SPREAD_SHARE
    ) -> None:
        self._spread_share = spread_share
        self.remote_factor = min(max(1.0, remote_factor), MAX_FACTOR)

    def gain(self, duration: timedelta) -> timedelta:
        """Returns by how much a remote run takes longer than a near one."""
        return (self.remote_factor - 1) * duration

    def decide(
        self, request: NearRequest, slot: NearSlot | None, now: timedelta
    ) -> NearDecision:
        """Decides about a task for which no near worker has room now.

        Args:
            request: The task.
            slot: Next near slot that the tasks ahead leave; None if there is none.
            now: Current time.
        """
        remote_duration = self.remote_factor * request.duration
        remote_end = now + remote_duration * request.remote_lateness
        wait_until = self._wait_until(request)
        reason = self._reason(request, slot, now, remote_end, wait_until)
        return NearDecision(
            reason,
            wait_until,
            slot.ends_at if slot else None,
            slot.spread if slot else _NO_TIME,
            remote_end,
        )

    def _wait_until(self, request: NearRequest) -> timedelta:
        ends = [request.passed_over_at + self.gain(request.duration)]
        if request.passed_over_at <= request.latest_remote_start:
            ends.append(request.latest_remote_start)
        if request.give_up_at is not None:
            ends.append(request.give_up_at)
        return min(ends)

    def _reason(
        self,
        request: NearRequest,
        slot: NearSlot | None,
        now: timedelta,
        remote_end: timedelta,
        wait_until: timedelta,
    ) -> NearReason:
        gain = self.gain(request.duration)
        if gain < REVIEW_INTERVAL:
            return NearReason.NO_GAIN
        bound_by_deadline = wait_until == request.latest_remote_start
        if now + REVIEW_INTERVAL > wait_until:
            return NearReason.DEADLINE if bound_by_deadline else NearReason.WAITED
        if slot is None:
            return NearReason.NO_PLACE
        if slot.ends_at + self._spread_share * slot.spread > remote_end:
            return NearReason.TOO_LATE
        if slot.starts_at > wait_until:
            return NearReason.DEADLINE if bound_by_deadline else NearReason.TOO_LATE
        return NearReason.EXPECTED
