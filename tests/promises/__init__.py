"""Checks of the promises of docs/design.md, section 1, under injected faults.

Run them with `python -m tests.promises`. With `--mutants` the same checks run
against deliberately wrong variants of the code, which they must detect.
"""
