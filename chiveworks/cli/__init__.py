"""Command line interface for operators."""

from chiveworks.cli._application import build_application, run_command_line
from chiveworks.cli._exit_code import ExitCode

__all__ = ('ExitCode', 'build_application', 'run_command_line')
