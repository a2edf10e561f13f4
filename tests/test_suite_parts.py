"""Tests that the parts of the suite together run each test once, and report failures."""

import re
import subprocess
import sys
from collections import Counter
from types import SimpleNamespace

import pytest

from tests import run_suite
from tests.suite_part import (
    PARALLEL_FOLDERS,
    PARALLEL_PARTS,
    REAL_TIME_FILES,
    ROOT,
    SERIAL_PART,
    SuitePart,
    runs_in_parallel,
)

TESTS_PER_FILE = 7
ALL_PARTS = range(PARALLEL_PARTS + 1)
#: Real time, sockets, processes and threads.
REAL_TIME = re.compile(
    r'time\.(sleep|time|monotonic|perf_counter|process_time)\b|asyncio\.sleep\((?!0\))'
    r'|asyncio\.(timeout|wait_for|to_thread)|subprocess|socket|aiohttp|grpc|threading'
)


def suite_files():
    found = [
        path
        for folder in ('chiveworks', 'standins', 'tests')
        for path in (ROOT / folder).rglob('test_*.py')
    ]
    assert len(found) > 100
    return [*found, ROOT / 'chiveworks/new/tests/test_new.py']


def kept_by(part, tests):
    kept = list(tests)
    SuitePart(part).pytest_collection_modifyitems(kept)
    return kept


def test_each_test_belongs_to_exactly_one_part():
    """Guards against a test file that no part runs, as a new one in a new folder."""
    tests = [
        SimpleNamespace(path=path, number=number)
        for path in suite_files()
        for number in range(TESTS_PER_FILE)
    ]
    kept = [test for part in ALL_PARTS for test in kept_by(part, tests)]
    counted = Counter((test.path, test.number) for test in kept)
    assert set(counted.values()) == {1}
    assert len(counted) == len(tests)
    assert all(kept_by(part, tests) for part in ALL_PARTS)


def test_no_test_on_the_real_clock_runs_beside_others():
    """Guards against limits of real time that a busy machine exceeds."""
    assert all((ROOT / file).is_file() for file in REAL_TIME_FILES)
    for folder in PARALLEL_FOLDERS:
        for path in (ROOT / folder).rglob('tests/*.py'):
            relative = path.relative_to(ROOT).as_posix()
            if runs_in_parallel(relative):
                assert not REAL_TIME.search(path.read_text()), relative


@pytest.mark.parametrize('failing', [None, *ALL_PARTS])
def test_every_part_runs_and_any_failure_fails_the_suite(failing, monkeypatch):
    """Guards against a part that is not started or whose failure is lost."""
    commands = []

    def command(part, arguments):
        commands.append(part)
        assert arguments[-1] == '--deselect=known'
        return [sys.executable, '-c', f'raise SystemExit({int(part == failing)})']

    monkeypatch.setattr(run_suite, '_command', command)
    code = run_suite.run_parts(['--deselect=known'])
    assert sorted(commands) == list(ALL_PARTS)
    assert commands[-1] == SERIAL_PART
    assert code == int(failing is not None)


def test_there_is_no_other_part():
    """Guards against a run that keeps no tests and succeeds."""
    ran = subprocess.run(
        [sys.executable, '-m', 'tests.suite_part', str(PARALLEL_PARTS + 1)],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert ran.returncode
    assert 'there is no part' in ran.stderr
