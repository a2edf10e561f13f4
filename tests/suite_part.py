"""Runs one part of the test suite: the serial part, or one of the parallel parts.

    python -m tests.suite_part NUMBER [arguments of pytest]

The serial part collects the whole suite, a parallel one the parallel folders. Each
keeps its own tests, so that a test belongs to exactly one part, also if it is new.
"""

import pathlib
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PARALLEL_PARTS = 4
#: Number of the part with all tests that don't run in parallel.
SERIAL_PART = 0
#: Folders whose tests need much processor time, and no real time, sockets or processes.
PARALLEL_FOLDERS = (
    'chiveworks/catalogue',
    'chiveworks/dispatch',
    'chiveworks/settings',
)
#: Files in these folders with tests that depend on the real clock.
REAL_TIME_FILES = (
    'chiveworks/dispatch/tests/test_leaders.py',
    'chiveworks/dispatch/tests/test_recovery_timeout.py',
)


def runs_in_parallel(path: str) -> bool:
    """Returns whether the tests of a file, relative to the root, run in parallel."""
    if path in REAL_TIME_FILES:
        return False
    return any(path.startswith(f'{folder}/') for folder in PARALLEL_FOLDERS)


class SuitePart:
    """Plugin of pytest that keeps the tests of one part."""

    def __init__(self, number: int) -> None:
        if not 0 <= number <= PARALLEL_PARTS:
            raise ValueError(f'there is no part {number}')
        self._number = number

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Removes the tests of the other parts."""
        serial = []
        parallel = []
        for test in items:
            path = test.path.relative_to(ROOT).as_posix()
            (parallel if runs_in_parallel(path) else serial).append(test)
        if self._number == SERIAL_PART:
            items[:] = serial
        else:
            # Neighbours, often cases of one test, take about the same time.
            items[:] = parallel[self._number - 1 :: PARALLEL_PARTS]


def main(number: int, arguments: list[str]) -> int:
    """Runs a part with further arguments of pytest; returns the exit code."""
    folders = () if number == SERIAL_PART else PARALLEL_FOLDERS
    return int(pytest.main([*arguments, *folders], plugins=[SuitePart(number)]))


if __name__ == '__main__':
    sys.exit(main(int(sys.argv[1]), sys.argv[2:]))
