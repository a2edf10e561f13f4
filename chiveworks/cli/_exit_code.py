"""Exit codes of the commands."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes, stable for use in scripts; `docs/errors.md` explains each."""

    OK = 0
    OUTCOME_UNKNOWN = 1
    INVALID = 2
    NOT_RUN = 3
    CONFLICT = 4
    NOT_FOUND = 5
