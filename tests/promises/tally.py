"""Counts of faults, operations and violations for each promise."""

from collections import Counter
from dataclasses import dataclass, field

from tests.promises.promise import Promise


@dataclass
class PromiseCounts:
    """Injected faults, checked operations and violations of one promise."""

    faults: Counter[str] = field(default_factory=Counter)
    operations: int = 0
    violations: list[str] = field(default_factory=list)


class Tally:
    """Collects the counts of all checks.

    A check adds to the counts of the promises for which it is registered;
    `begin_check` sets them.
    """

    def __init__(self) -> None:
        self.counts = {promise: PromiseCounts() for promise in Promise}
        self._promises: tuple[Promise, ...] = ()
        self._source = ''

    @property
    def violation_count(self) -> int:
        """Total number of violations."""
        return sum(len(row.violations) for row in self.counts.values())

    def begin_check(self, promises: tuple[Promise, ...], source: str) -> None:
        """Sets the check, and its promises, to which the following counts belong."""
        self._promises = promises
        self._source = source

    def fault(self, kind: str, count: int = 1) -> None:
        """Counts injected faults."""
        for promise in self._promises:
            self.counts[promise].faults[kind] += count

    def operations(self, count: int = 1) -> None:
        """Counts operations whose outcome is checked."""
        for promise in self._promises:
            self.counts[promise].operations += count

    def violation(self, message: str, promise: Promise | None = None) -> None:
        """Records a violation of a promise, by default the check's first one."""
        broken = promise or self._promises[0]
        self.counts[broken].violations.append(f'{self._source}: {message}')
