"""Checks that a leader makes at short intervals."""

from collections.abc import Callable, Sequence

from chiveworks.events import EventLog


class PeriodicChecks:
    """Runs checks in order; an unexpected error in one does not end the others.

    Args:
        log: Event log for errors.
        checks: The checks.
    """

    def __init__(self, log: EventLog, checks: Sequence[Callable[[], None]]) -> None:
        self._log = log
        self._checks = checks

    def run(self) -> None:
        """Runs all checks once."""
        for check in self._checks:
            try:
                check()
            except Exception as error:
                self._log.write(
                    'check_failed', check=check.__qualname__, error=repr(error)
                )
