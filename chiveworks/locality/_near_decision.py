"""Decision about a wait for a near worker."""

from dataclasses import dataclass
from datetime import timedelta

from chiveworks.locality._near_reason import NearReason


@dataclass(frozen=True, slots=True)
class NearDecision:
    """Whether a task waits for a near worker.

    Attributes:
        reason: Why it waits, or starts on a remote worker; the task waits if the reason
            is `NearReason.EXPECTED`.
        wait_until: End of the longest wait that pays off.
        near_end: Expected end of a near run after a wait; None if no room is expected.
        near_spread: How much later that end may well be.
        remote_end: Expected end of a remote run that starts now.
    """

    reason: NearReason
    wait_until: timedelta
    near_end: timedelta | None
    near_spread: timedelta
    remote_end: timedelta

    @property
    def waits(self) -> bool:
        """Whether the task waits."""
        return self.reason is NearReason.EXPECTED
