"""Error for invalid command usage."""

from cleo.exceptions import CleoUserError


class UsageError(CleoUserError):
    """Raised for invalid arguments, options or files of a command."""
