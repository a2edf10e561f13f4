"""Checks of the promises of docs/design.md, section 1, under faults.

Run `python -m tests.promises`; `--mutants` shows which wrong variants of the code
the same checks find.
"""
