"""Runs the test suite without the known failures listed in KNOWN-RED.txt.

    python -m tests.run_suite [arguments of pytest]

The parallel parts run beside each other, the serial part runs after them. With
arguments, as `-k NAME` or a file, one pytest process runs with these arguments.
"""

import contextlib
import re
import subprocess
import sys
import tempfile

import pytest

from tests.suite_part import PARALLEL_PARTS, ROOT, SERIAL_PART

KNOWN_RED = ROOT / 'KNOWN-RED.txt'
TEST_LINE = re.compile(r'^test:\s*(\S+)')


def read_known_red() -> list[str]:
    """Returns the node ids of the tests listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [found.group(1) for line in lines if (found := TEST_LINE.match(line))]


def run_parts(arguments: list[str]) -> int:
    """Runs all parts; returns the exit code of the first one that failed, or 0."""
    numbers = [part for part in range(PARALLEL_PARTS + 1) if part != SERIAL_PART]
    with contextlib.ExitStack() as stack:
        outputs = [stack.enter_context(tempfile.TemporaryFile()) for _ in numbers]
        started = [
            # The cache of pytest can't be written by several processes.
            subprocess.Popen(
                _command(number, ['-p', 'no:cacheprovider', *arguments]),
                cwd=ROOT,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
            for number, output in zip(numbers, outputs, strict=True)
        ]
        codes = []
        for number, output, process in zip(numbers, outputs, started, strict=True):
            codes.append(process.wait())
            output.seek(0)
            print(f'parallel part {number} of {PARALLEL_PARTS}', flush=True)
            sys.stdout.buffer.write(output.read())
            sys.stdout.flush()
    print('serial part', flush=True)
    codes.append(subprocess.call(_command(SERIAL_PART, arguments), cwd=ROOT))
    return next((code for code in codes if code), 0)


def main() -> int:
    """Runs pytest without the known failures; returns its exit code."""
    known_red = read_known_red()
    for node_id in known_red:
        print(f'skipping known failure, see KNOWN-RED.txt: {node_id}', flush=True)
    deselected = [f'--deselect={node_id}' for node_id in known_red]
    if sys.argv[1:]:
        return int(pytest.main([*deselected, *sys.argv[1:]]))
    return run_parts(deselected)


def _command(part: int, arguments: list[str]) -> list[str]:
    return [sys.executable, '-m', 'tests.suite_part', str(part), *arguments]


if __name__ == '__main__':
    sys.exit(main())
