"""Counts of faults, operations and violations, per promise."""

from collections import Counter
from dataclasses import dataclass, field

from tests.promises.promise import Promise


@dataclass
class Row:
    """What was tried and found for one promise."""

    faults: Counter[str] = field(default_factory=Counter)
    operations: int = 0
    violations: list[str] = field(default_factory=list)


class Tally:
    """Collects the figures of all checks.

    A check counts for the promises that it is registered for; `focus` sets them.
    """

    def __init__(self) -> None:
        self.rows = {promise: Row() for promise in Promise}
        self._focus: tuple[Promise, ...] = ()
        self._source = ''

    @property
    def violation_count(self) -> int:
        """Number of violations of all promises."""
        return sum(len(row.violations) for row in self.rows.values())

    def focus(self, promises: tuple[Promise, ...], source: str) -> None:
        """Sets the promises and the check that the following counts belong to."""
        self._focus = promises
        self._source = source

    def fault(self, kind: str, count: int = 1) -> None:
        """Counts injected faults."""
        for promise in self._focus:
            self.rows[promise].faults[kind] += count

    def operations(self, count: int = 1) -> None:
        """Counts operations whose outcome is checked."""
        for promise in self._focus:
            self.rows[promise].operations += count

    def violation(self, message: str, promise: Promise | None = None) -> None:
        """Records a violation of a promise, by default the check's first one."""
        broken = promise or self._focus[0]
        self.rows[broken].violations.append(f'{self._source}: {message}')
