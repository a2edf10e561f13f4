"""Permission to run one request."""

from collections.abc import Callable
from datetime import timedelta

from chiveworks.admission._admission_request import AdmissionRequest


class Permit:
    """Counts as one request in progress until it is released.

    Attributes:
        request: The admitted request.
        admitted_at: Monotonic time of admission.
    """

    def __init__(
        self,
        request: AdmissionRequest,
        admitted_at: timedelta,
        on_release: Callable[['Permit', bool], None],
    ) -> None:
        self.request = request
        self.admitted_at = admitted_at
        self._on_release = on_release
        self._released = False

    def release(self, dropped: bool = False) -> None:
        """Ends the request; later calls have no effect.

        Args:
            dropped: Whether it got no response, which is taken as a sign of overload.
        """
        if not self._released:
            self._released = True
            self._on_release(self, dropped)
