"""Checks that need real processes; they are tests of their own."""

import pytest


def run_processes() -> int:
    """Runs the tests over a real fleet; returns pytest's exit code."""
    return int(
        pytest.main(['tests/processes/test_promises.py', '-q', '-rA', '--durations=0'])
    )
