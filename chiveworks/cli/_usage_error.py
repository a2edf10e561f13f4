"""A command that was called wrong."""

from cleo.exceptions import CleoUserError


class UsageError(CleoUserError):
    """Arguments, options or files that a command cannot use."""
