"""Runs the checks that need real processes, which are pytest tests."""

import pytest


def run_processes() -> int:
    """Runs the tests against a real fleet; returns pytest's exit code."""
    return int(
        pytest.main(['tests/processes/test_promises.py', '-q', '-rA', '--durations=0'])
    )
