"""A task that could start on a remote worker now."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class NearRequest:
    """What is known about a task, or a group that starts together.

    Attributes:
        duration: Declared duration of a near run.
        passed_over_at: When a remote worker was first passed over for the task; now if
            none has been.
        latest_remote_start: Last start on a remote worker with which the job meets its
            deadline, by its declared durations.
        remote_lateness: Lateness of the remote worker; see `LatenessMeter`.
        give_up_at: Time beyond which the task must not wait; None if only the gain and
            the deadline limit it.
    """

    duration: timedelta
    passed_over_at: timedelta
    latest_remote_start: timedelta
    remote_lateness: float = 1.0
    give_up_at: timedelta | None = None
