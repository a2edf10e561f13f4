"""Exit codes of the commands."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What a script can rely on after a command; `docs/errors.md` explains each."""

    OK = 0
    OUTCOME_UNKNOWN = 1
    INVALID = 2
    NOT_RUN = 3
    CONFLICT = 4
    NOT_FOUND = 5
