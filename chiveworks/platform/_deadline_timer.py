"""Timer for a deadline that does not count stalls of the event loop as silence."""

import asyncio
from collections.abc import Callable
from typing import Final

#: Delay of a timer above which the event loop was stalled. Bytes that arrived meanwhile
#: have not been read yet, since timers run before input.
STALL_S: Final = 0.01
#: Time for reading such bytes.
GRACE_S: Final = 0.02


class DeadlineTimer:
    """Calls back at a deadline, or a little later if the event loop was stalled then.

    Args:
        deadline: Time of the event loop.
        expired: Called once unless the timer is cancelled before.
    """

    def __init__(self, deadline: float, expired: Callable[[], None]) -> None:
        self._deadline = deadline
        self._expired = expired
        self._timer = asyncio.get_running_loop().call_at(deadline, self._check)

    def cancel(self) -> None:
        """Prevents the call."""
        self._timer.cancel()

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() - self._deadline > STALL_S:
            self._timer = loop.call_later(GRACE_S, self._expired)
        else:
            self._expired()
